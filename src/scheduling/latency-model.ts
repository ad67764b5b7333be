/**
 * Estimates how long one kind of work takes on a service's engines, from completed work. There are no
 * assumptions about the engines: without samples the estimate is 0, and callers must probe: with the pace of other engines, prefills
 * would be queued and cut off by wrong times. All
 * engines share one model; `engine-model.ts` corrects it for engines that deviate.
 */
import { createLinearModel } from './least-squares.js';

/** An amount of work, in the quantities that determine its duration. */
export interface Work {
  /** Tokens to prefill or to transfer. */
  tokens: number;
  /** Pairs of a token with an earlier one, the cost of attention; 0 for transfers. */
  pairs: number;
}

const TOKENS_UNIT = 1_000;
const PAIRS_UNIT = 1_000_000;
/** Prior standard deviations of the weights: ms per piece of work, ms per 1,000 tokens, and ms per
 * million pairs. They determine how the first few observations are split among the terms. */
const PRIOR_DEVIATIONS = [5, 100, 0.6] as const;
/** Noise of a measured time: a fixed part in ms and a relative one. */
const NOISE_MS = 3;
const NOISE_SHARE = 0.15;
/** Bound on a measured time relative to its estimate, and its inverse, so that one stalled engine does
 * not distort the model for all. */
const MAX_DEVIATION_FACTOR = 2;

/** Latency model of one kind of work. */
export interface LatencyModel {
  /** Whether any work has been observed. */
  hasSamples(): boolean;
  /** Estimated duration in milliseconds; 0 without samples. */
  estimateMs(work: Work): number;
  /** Updates the model with a measured duration in milliseconds. */
  observe(work: Work, measuredMs: number): void;
}

/** Creates a model without samples. */
export function createLatencyModel(): LatencyModel {
  const model = createLinearModel(PRIOR_DEVIATIONS);
  let samples = 0;

  function estimateMs(work: Work): number {
    return samples === 0 ? 0 : Math.max(0, model.predict(resolveTerms(work)));
  }

  return {
    hasSamples: () => samples > 0,
    estimateMs,
    observe(work, measuredMs) {
      const estimatedMs = estimateMs(work);
      const boundedMs = samples === 0 ? measuredMs : resolveBounded(measuredMs, estimatedMs);
      const noiseMs = NOISE_MS + NOISE_SHARE * boundedMs;
      model.observe(resolveTerms(work), boundedMs, noiseMs);
      samples += 1;
    },
  };
}

/**
 * The work of prefilling a prompt whose prefix is cached.
 *
 * @param uncached tokens to prefill
 * @param cached tokens of the cached prefix
 */
export function resolvePrefillWork(uncached: number, cached: number): Work {
  return { tokens: uncached, pairs: uncached * (cached + uncached / 2) };
}

function resolveTerms({ tokens, pairs }: Work): readonly number[] {
  return [1, tokens / TOKENS_UNIT, pairs / PAIRS_UNIT];
}

function resolveBounded(measuredMs: number, estimatedMs: number): number {
  const most = estimatedMs * MAX_DEVIATION_FACTOR + NOISE_MS;
  const least = estimatedMs / MAX_DEVIATION_FACTOR - NOISE_MS;
  return Math.min(most, Math.max(least, measuredMs));
}
