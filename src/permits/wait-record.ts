/**
 * How waits turned out against what was foretold, and how often permits end: both correct the next
 * forecast.
 */

/** What is learned from waits. Times are milliseconds. */
export interface WaitRecord {
  /** A request waited so long; where it was given up, it would have waited longer. */
  observeWait(isLong: boolean, foretoldMs: number, waitedMs: number): void;
  /** A permit ended. */
  observeRelease(now: number): void;
  /** Factor by which waits turned out longer than foretold. */
  correction(isLong: boolean): number;
  /** Time between two ends of permits; 0 until two were seen. */
  releaseIntervalMs(): number;
}

const NEWEST_WEIGHT = 0.05;
/** Forecasts shorter than this teach nothing. */
const LEAST_FORETOLD_MS = 20;
const LEAST_CORRECTION = 0.25;
const MOST_CORRECTION = 4;
/** A longer pause between two ends says that there was nothing to do. */
const LONGEST_TURN_MS = 1_000;

/** Creates a record of nothing. */
export function createWaitRecord(): WaitRecord {
  const corrections = { short: 1, long: 1 };
  let turnMs = 0;
  let lastEnd: number | undefined;

  return {
    observeWait(isLong, foretoldMs, waitedMs) {
      if (foretoldMs < LEAST_FORETOLD_MS) return;
      const kind = isLong ? 'long' : 'short';
      const corrected = corrections[kind] * (waitedMs / foretoldMs);
      const target = Math.min(MOST_CORRECTION, Math.max(LEAST_CORRECTION, corrected));
      corrections[kind] += (target - corrections[kind]) * NEWEST_WEIGHT;
    },
    observeRelease(now) {
      if (lastEnd !== undefined) {
        const pauseMs = Math.min(LONGEST_TURN_MS, now - lastEnd);
        turnMs += (pauseMs - turnMs) * NEWEST_WEIGHT;
      }
      lastEnd = now;
    },
    correction: (isLong) => corrections[isLong ? 'long' : 'short'],
    releaseIntervalMs: () => turnMs,
  };
}
