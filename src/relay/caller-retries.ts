/**
 * Detects callers that retry. A caller counts its time limit from its first attempt, so one that will
 * wait clearly less than the longest wait seen on its route is retrying.
 */

/** A caller that will wait less than this share of the longest wait is retrying. */
const RETRY_SHARE = 0.95;

/** Detects retries from how long callers will wait. */
export interface CallerRetries {
  /**
   * Records a caller's wait and returns whether the caller is retrying.
   *
   * @param route name of the route
   * @param waitMs how long the caller will wait; `undefined` if it did not state it
   */
  isRetry(route: string, waitMs: number | undefined): boolean;
}

/** Creates a detector that has seen no caller. */
export function createCallerRetries(): CallerRetries {
  const longest = new Map<string, number>();
  return {
    isRetry(route, waitMs) {
      if (waitMs === undefined) return false;
      const known = longest.get(route) ?? 0;
      if (waitMs > known) longest.set(route, waitMs);
      return waitMs < known * RETRY_SHARE;
    },
  };
}
