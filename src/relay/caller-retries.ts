/**
 * The longest time that callers of each route were willing to wait. A caller that waits for clearly
 * less has been here before: it counts its time from its first attempt.
 */

/** A caller that waits for less than this share of the longest wait has come back. */
const RETURN_SHARE = 0.95;

/** Knows how long callers wait. */
export interface CallerRetries {
  /**
   * Takes a caller's wait in and tells whether it has come back.
   *
   * @param route name of the route
   * @param waitMs how long the caller will wait; `undefined` when it did not say
   */
  isRetry(route: string, waitMs: number | undefined): boolean;
}

/** Creates an empty record. */
export function createCallerRetries(): CallerRetries {
  const longest = new Map<string, number>();
  return {
    isRetry(route, waitMs) {
      if (waitMs === undefined) return false;
      const known = longest.get(route) ?? 0;
      if (waitMs > known) longest.set(route, waitMs);
      return waitMs < known * RETURN_SHARE;
    },
  };
}
