/**
 * Safety margin for latency estimates: the moving average of their error plus its mean deviation.
 * Admitting on the mean alone would make about half of the requests at the limit miss their
 * objective.
 */

/** Weight of the latest error; about the latest twenty decide. */
const WEIGHT = 0.05;
/** Bound on a single error, in ms, so that the loss of an engine does not dominate the margin. */
const MAX_ERROR_MS = 250;

/** Margin for latency estimates. */
export interface LatencyMargin {
  /** Margin to add to an estimate, in milliseconds; not negative. */
  marginMs(): number;
  /** Records by how much a first event came later than estimated, in milliseconds. */
  observe(lateMs: number): void;
}

/** Creates a margin of 0. */
export function createLatencyMargin(): LatencyMargin {
  let meanMs = 0;
  let deviationMs = 0;
  return {
    marginMs: () => Math.max(0, meanMs + deviationMs),
    observe(lateMs) {
      const boundedMs = Math.min(MAX_ERROR_MS, Math.max(-MAX_ERROR_MS, lateMs));
      meanMs += WEIGHT * (boundedMs - meanMs);
      deviationMs += WEIGHT * (Math.abs(boundedMs - meanMs) - deviationMs);
    },
  };
}
