/**
 * Corrects latency estimates by the ratio of measured to estimated queueing delays, and measures
 * the interval between releases of permits.
 */

/** Measured queueing delays. Times are milliseconds. */
export interface WaitRecord {
  /** Records the queueing delay of a request; a lower bound if the request was refused. */
  observeWait(isLong: boolean, estimatedMs: number, waitedMs: number): void;
  observeRelease(now: number): void;
  /** Ratio of measured to estimated queueing delays. */
  correction(isLong: boolean): number;
  /** Mean time between two releases; 0 before the second one. */
  releaseIntervalMs(): number;
}

/** Weight of the newest observation in the moving averages. */
const NEWEST_WEIGHT = 0.05;
/** Shorter estimates are not used for the correction. */
const MIN_ESTIMATED_MS = 20;
const MIN_CORRECTION = 0.25;
const MAX_CORRECTION = 4;
/** Cap on a release interval: longer ones mean that the shard was idle. */
const MAX_INTERVAL_MS = 1_000;

/** Creates a record without observations. */
export function createWaitRecord(): WaitRecord {
  const corrections = { short: 1, long: 1 };
  let intervalMs = 0;
  let lastReleaseAt: number | undefined;

  return {
    observeWait(isLong, estimatedMs, waitedMs) {
      if (estimatedMs < MIN_ESTIMATED_MS) return;
      const kind = isLong ? 'long' : 'short';
      const corrected = corrections[kind] * (waitedMs / estimatedMs);
      const target = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, corrected));
      corrections[kind] += (target - corrections[kind]) * NEWEST_WEIGHT;
    },
    observeRelease(now) {
      if (lastReleaseAt !== undefined) {
        const sinceLastMs = Math.min(MAX_INTERVAL_MS, now - lastReleaseAt);
        intervalMs += (sinceLastMs - intervalMs) * NEWEST_WEIGHT;
      }
      lastReleaseAt = now;
    },
    correction: (isLong) => corrections[isLong ? 'long' : 'short'],
    releaseIntervalMs: () => intervalMs,
  };
}
