/**
 * Which part of their time the engines that read have left beside what is on time. Requests that will
 * be late are read in that time only, so it says how long they will wait, and a caller that is turned
 * away, when to come back.
 *
 * Answers: overload that lasts longer than callers wait. By the queues alone late requests seemed to be
 * served soon, and were held until their callers left.
 */

/** Time over which the load is averaged, in ms: a few reads of the longest kind, and shorter than the
 * spells in which the mix of requests swings. */
const MEMORY_MS = 1_000;
/** Least part that is reckoned with: below it, waits are endless for any caller. */
const LEAST_SHARE = 0.02;

/** The time that is left. */
export interface SpareTime {
  /** Work that is on time was given to an engine, in milliseconds of its time. */
  note(workMs: number, now: number): void;
  /** Work of the latest time, in engines that it kept busy. */
  busy(now: number): number;
  /**
   * Part of the engines' time that is left, above 0 and up to 1.
   *
   * @param engines how many engines there are
   */
  share(engines: number, now: number): number;
}

/** Creates a record of engines without work. */
export function createSpareTime(): SpareTime {
  /** Work of the latest time, each piece fading with its age. */
  let recentMs = 0;
  let at = 0;

  function fade(now: number): void {
    recentMs *= Math.exp((at - now) / MEMORY_MS);
    at = now;
  }

  function busy(now: number): number {
    fade(now);
    return recentMs / MEMORY_MS;
  }

  return {
    note(workMs, now) {
      fade(now);
      recentMs += workMs;
    },
    busy,
    share: (engines, now) => Math.max(LEAST_SHARE, 1 - busy(now) / Math.max(1, engines)),
  };
}
