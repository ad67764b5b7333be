/**
 * Load of engines as an exponentially weighted average of the work assigned to them, and the spare
 * capacity that it leaves. Late requests run on spare capacity, so it determines how long they wait
 * and when a declined caller should retry.
 */

/** Time constant of the average, in ms. */
const AVERAGING_MS = 1_000;
/** Lower bound of the spare capacity, which keeps estimated waits finite. */
const MIN_SPARE_CAPACITY = 0.02;

/** Recently assigned work. */
export interface RecentLoad {
  /** Records assigned work, in milliseconds of engine time. */
  record(workMs: number, now: number): void;
  /** Number of engines that the recent work keeps busy. */
  busyEngines(now: number): number;
}

/** Creates a record without work. */
export function createRecentLoad(): RecentLoad {
  /** Recent work, decayed by age. */
  let recentMs = 0;
  let at = 0;

  function decay(now: number): void {
    recentMs *= Math.exp((at - now) / AVERAGING_MS);
    at = now;
  }

  return {
    record(workMs, now) {
      decay(now);
      recentMs += workMs;
    },
    busyEngines(now) {
      decay(now);
      return recentMs / AVERAGING_MS;
    },
  };
}

/**
 * Spare capacity as a share of the engines' time, above 0 and at most 1.
 *
 * @param busy number of busy engines
 * @param engines number of all engines
 */
export function resolveSpareCapacity(busy: number, engines: number): number {
  return Math.max(MIN_SPARE_CAPACITY, 1 - busy / Math.max(1, engines));
}
