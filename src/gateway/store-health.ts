/**
 * Whether the store answers this gateway, shared by all feeds. A failed call that was sent before the latest
 * response is ignored, and once the store answers any feed again, the others send their calls again.
 */
import type { Log } from '../events/index.js';
import type { Clock } from '../task/index.js';

/** A call that failed or is overdue. */
export interface FailedCall {
  /** The feed that sent it. */
  feed: string;
  /** Send time on the gateway's clock, in ms. */
  sentAt: number;
  reason: string;
}

/** Receives the start and end of outages. */
export interface OutageListener {
  /** A call sent after the first failure has failed as well, so this is more than a lost connection. */
  lost(): void;
  /** The store answers again after an outage. */
  returned(): void;
}

/** Records whether the store answers this gateway. */
export interface StoreHealth {
  /** Records a response to a feed. */
  succeeded(feed: string): void;
  failed(call: FailedCall): void;
  /** Whether the store answered and no call has failed since. */
  isReachable(): boolean;
  /**
   * Whether a feed may send a further call beside those in flight. All feeds share the rate, since one
   * response is enough for all.
   *
   * @param intervalMs time between two such calls of all feeds, in ms
   */
  mayProbe(intervalMs: number): boolean;
  /**
   * Registers an action for when the store answers any feed again.
   *
   * @returns unregisters the action
   */
  onRecovered(action: () => void): () => void;
}

/**
 * Creates the record of the store's health.
 *
 * @param clock the gateway's clock
 * @param log receives an event when the store is lost and regained
 * @param listener receives outages, not single lost calls
 */
export function createStoreHealth(clock: Clock, log: Log, listener: OutageListener): StoreHealth {
  const recoveryActions = new Set<() => void>();
  let answeredAt = Number.NEGATIVE_INFINITY;
  let probedAt = Number.NEGATIVE_INFINITY;
  let lostAt: number | undefined;
  let isAway = false;

  function recover(feed: string, since: number): void {
    log.write('storeRegained', { feed, lostMs: Math.round(clock.now() - since), isAway });
    lostAt = undefined;
    if (isAway) listener.returned();
    isAway = false;
    for (const action of [...recoveryActions]) action();
  }

  return {
    isReachable: () => answeredAt > Number.NEGATIVE_INFINITY && lostAt === undefined,
    mayProbe(intervalMs) {
      if (clock.now() - probedAt < intervalMs) return false;
      probedAt = clock.now();
      return true;
    },
    succeeded(feed) {
      answeredAt = clock.now();
      if (lostAt !== undefined) recover(feed, lostAt);
    },
    failed({ feed, sentAt, reason }) {
      if (sentAt < answeredAt) return;
      if (lostAt === undefined) {
        lostAt = clock.now();
        log.write('storeLost', { feed, reason });
        return;
      }
      if (isAway || sentAt < lostAt) return;
      isAway = true;
      listener.lost();
    },
    onRecovered(action) {
      recoveryActions.add(action);
      return () => recoveryActions.delete(action);
    },
  };
}
