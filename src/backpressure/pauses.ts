/**
 * Servers that have asked this gateway to pause when they turned one of its requests away. It binds this gateway alone;
 * others are asked by themselves.
 */
import type { Clock, RandomSource } from '../task/index.js';

/** The longest pause that is kept, in ms: one request then asks whether it still holds, so that a garbled answer doesn't
 * end the use of a server. */
const MAX_PAUSE_MS = 60_000;
/** Part of a pause that is added at random, so that gateways that were asked together don't come back together. */
const SPREAD_SHARE = 0.1;

/** Servers that asked this gateway to pause. */
export interface Pauses {
  /** A server has asked for a pause; tells whether one was in force already. */
  start(server: string, pauseMs: number): boolean;
  /** Time until the server may be sent anything, in ms. */
  remainingMs: (server: string) => number;
  /** Servers with a pause in force. */
  list: () => string[];
  forget(server: string): void;
}

/**
 * Creates pauses of no server.
 *
 * @param clock the gateway's clock
 * @param random spreads the ends
 */
export function createPauses(clock: Clock, random: RandomSource): Pauses {
  const until = new Map<string, number>();

  function msLeft(server: string): number {
    const endAt = until.get(server);
    if (endAt === undefined) return 0;
    const leftMs = endAt - clock.now();
    if (leftMs <= 0) until.delete(server);
    return Math.max(0, leftMs);
  }

  return {
    start(server, pauseMs) {
      const isPaused = msLeft(server) > 0;
      const lastsMs = Math.min(MAX_PAUSE_MS, pauseMs * (1 + SPREAD_SHARE * random.next()));
      until.set(server, Math.max(until.get(server) ?? 0, clock.now() + lastsMs));
      return isPaused;
    },
    remainingMs: msLeft,
    list: () => [...until.keys()].filter((server) => msLeft(server) > 0),
    forget(server) {
      until.delete(server);
    },
  };
}
