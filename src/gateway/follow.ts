/**
 * Follows a part of the store for as long as the gateway runs: reads it whole, then waits for its
 * changes, and starts over where the store has forgotten them.
 */
import type { Log } from '../events/index.js';
import type { FeedBatch, FeedFailure, RowFeed } from '../ports/row-feed.js';
import { wait, type Clock, type RandomSource } from '../task/index.js';

/** How long the store may hold a call that waits for changes, in ms. A call that was swallowed by an
 * outage or a silent connection is found out only when its time is over; with what it may take beyond
 * (1.5 s), that must be within the three seconds after which a gateway counts as in touch again and
 * the two within which a change must be in force then. Longer would cost fewer calls. */
const HOLD_MS = 3_000;
/** First pause after a call that failed, in ms; doubles up to the longest. */
const FIRST_PAUSE_MS = 100;
/** Longest pause, in ms: a change must be known soon after the store is back. */
const MAX_PAUSE_MS = 800;

/** Time between two looks at whether others still pass on what the store holds, in ms. */
const REST_MS = 200;

/** Knows whether the store answers this gateway. */
export interface StoreWatch {
  succeeded(): void;
  failed(reason: string): void;
  /** The store answered the last call. */
  isReached(): boolean;
}

/**
 * Creates the record of whether the store answers.
 *
 * @param clock the gateway's clock
 * @param log hears of a lost and a regained store
 * @param returned called when the store answers again
 */
export function createStoreWatch(clock: Clock, log: Log, returned: () => void): StoreWatch {
  let lostAt: number | undefined;
  let answered = false;
  return {
    isReached: () => answered && lostAt === undefined,
    succeeded() {
      answered = true;
      if (lostAt === undefined) return;
      log.write('storeRegained', { lostMs: Math.round(clock.now() - lostAt) });
      lostAt = undefined;
      returned();
    },
    failed(reason) {
      if (lostAt !== undefined) return;
      lostAt = clock.now();
      log.write('storeLost', { reason });
    },
  };
}

/** What following needs. */
export interface FollowParts<Item> {
  name: string;
  feed: RowFeed<Item>;
  clock: Clock;
  random: RandomSource;
  log: Log;
  watch: StoreWatch;
  signal: AbortSignal;
  /** Others pass on what the store holds; nothing need be asked now. */
  mayRest(): boolean;
  /** Everything there is. */
  replaced(batch: FeedBatch<Item>): void;
  /** What has changed. */
  changed(batch: FeedBatch<Item>): void;
}

/**
 * Follows a part of the store until the signal ends it.
 *
 * @param parts the feed and who listens
 */
export async function follow<Item>(parts: FollowParts<Item>): Promise<void> {
  const { feed, clock, random, signal, watch } = parts;
  let revision: number | undefined;
  let pauseMs = FIRST_PAUSE_MS;
  while (!signal.aborted) {
    if (revision !== undefined && parts.mayRest()) {
      await wait(clock, REST_MS);
      continue;
    }
    const sentAt = clock.now();
    const result =
      revision === undefined
        ? await feed.readAll(signal)
        : await feed.next(revision, HOLD_MS, signal);
    if (result.isOk()) {
      watch.succeeded();
      pauseMs = FIRST_PAUSE_MS;
      if (revision === undefined) parts.replaced(result.value);
      else parts.changed(result.value);
      revision = result.value.revision;
      continue;
    }
    revision = takeFailure(parts, result.error, revision, sentAt);
    if (result.error.kind === 'history-lost') continue;
    await wait(clock, pauseMs * (0.5 + random.next()));
    pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
  }
}

function takeFailure<Item>(
  parts: FollowParts<Item>,
  failure: FeedFailure,
  revision: number | undefined,
  sentAt: number,
): number | undefined {
  parts.log.write('storeCallFailed', {
    feed: parts.name,
    after: revision,
    waitedMs: Math.round(parts.clock.now() - sentAt),
    reason: failure.reason,
  });
  if (failure.kind === 'history-lost') {
    parts.log.write('storeHistoryLost', { feed: parts.name, after: revision });
    return undefined;
  }
  if (failure.kind === 'unavailable') parts.watch.failed(failure.reason);
  return revision;
}
