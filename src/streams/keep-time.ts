/**
 * How long after its beginning a stream may be continued.
 */

/** As a multiple of its route's time limit: callers make several attempts. */
const KEEP_FACTOR = 3;
/** Least such time, in ms. */
const MIN_KEEP_MS = 60_000;

/**
 * How long after its beginning a stream of a route may be continued, in milliseconds.
 *
 * @param timeoutMs time limit of one attempt, in milliseconds
 */
export function resolveKeepMs(timeoutMs: number): number {
  return Math.max(MIN_KEEP_MS, KEEP_FACTOR * timeoutMs);
}
