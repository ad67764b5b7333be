/**
 * Pauses that servers requested when they declined a request of this gateway. They apply to this
 * gateway only.
 */
import type { Clock, RandomSource } from '../task/index.js';

/** Maximum pause, in ms, so that a malformed answer can't take a server out of use for long: one
 * request then asks whether the pause still holds. */
const MAX_PAUSE_MS = 60_000;
/** Random share added to a pause, so that gateways don't all resume at once. */
const JITTER_SHARE = 0.1;

/** Pauses by server. */
export interface Pauses {
  /** Starts or extends a pause; returns whether one was already in force. */
  start(server: string, pauseMs: number): boolean;
  /** Time until the server may be sent requests, in ms. */
  remainingMs: (server: string) => number;
  /** Servers with a pause in force. */
  list: () => string[];
  forget(server: string): void;
}

/**
 * Creates a record without pauses.
 *
 * @param clock the gateway's clock
 * @param random source of the jitter
 */
export function createPauses(clock: Clock, random: RandomSource): Pauses {
  const endAtByServer = new Map<string, number>();

  function remainingMs(server: string): number {
    const endAt = endAtByServer.get(server);
    if (endAt === undefined) return 0;
    const leftMs = endAt - clock.now();
    if (leftMs <= 0) endAtByServer.delete(server);
    return Math.max(0, leftMs);
  }

  return {
    start(server, pauseMs) {
      const wasPaused = remainingMs(server) > 0;
      const durationMs = Math.min(MAX_PAUSE_MS, pauseMs * (1 + JITTER_SHARE * random.next()));
      endAtByServer.set(server, Math.max(endAtByServer.get(server) ?? 0, clock.now() + durationMs));
      return wasPaused;
    },
    remainingMs,
    list: () => [...endAtByServer.keys()].filter((server) => remainingMs(server) > 0),
    forget(server) {
      endAtByServer.delete(server);
    },
  };
}
