/**
 * A rate limit that allows a burst of one second's worth.
 */
import type { Clock } from '../../src/task/index.js';

/** A rate limit. */
export interface Rate {
  /** Takes one unit if there is one. */
  take(): boolean;
  /** Time until there is a unit again, in milliseconds. */
  waitMs(): number;
}

const SECOND_MS = 1_000;

/**
 * Creates a rate limit.
 *
 * @param clock what it goes by
 * @param perSecond units a second; no limit when absent
 */
export function createRate(clock: Clock, perSecond: number | undefined): Rate {
  if (perSecond === undefined) return { take: () => true, waitMs: () => 0 };
  const capacity = Math.max(1, perSecond);
  const unitsPerMs = perSecond / SECOND_MS;
  let units = capacity;
  let countedAt = clock.now();

  function refill(): void {
    const now = clock.now();
    units = Math.min(capacity, units + (now - countedAt) * unitsPerMs);
    countedAt = now;
  }

  return {
    take() {
      refill();
      if (units < 1) return false;
      units -= 1;
      return true;
    },
    waitMs() {
      refill();
      return units >= 1 ? 0 : (1 - units) / unitsPerMs;
    },
  };
}
