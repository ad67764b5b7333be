/**
 * What a request costs an engine, and so what a fleet can do, reckoned from the stand-in's
 * constants: each prompt token that is not cached takes its part of the reading rate, each output
 * token its part of a step with a full batch. A fleet at 100% has every engine's time spent so; it
 * is an upper bound, since batches are not always full.
 */
import type { ClassName } from './arrivals.js';
import type { Experiment, Length } from './settings.js';

const MS_PER_SECOND = 1_000;

/**
 * Mean engine time of a generation, in milliseconds.
 *
 * @param experiment the settings
 * @param className the kind of request
 */
export function requestCost(experiment: Experiment, className: ClassName): number {
  const { deployment, workload, times } = experiment;
  const { stepBaseMs, perSequenceMs, maxBatch, prefillTokensPerSecond } = times.model;
  const readMs = MS_PER_SECOND / prefillTokensPerSecond;
  const writeMs = stepBaseMs / maxBatch + perSequenceMs;
  if (className === 'verdict') {
    const { extracts, verdict } = workload;
    const unread = 1 - deployment.cachedExtractShare;
    const read = meanLength(extracts.words) * unread + meanLength(verdict.questionWords);
    return read * readMs + meanLength(verdict.outputTokens) * writeMs;
  }
  const { questionWords, outputTokens } = workload.workedAnswer;
  return meanLength(questionWords) * readMs + meanLength(outputTokens) * writeMs;
}

/** Mean of a lognormal length; clamping, which lowers it a little, is left out. */
function meanLength({ median, sigma }: Length): number {
  return median * Math.exp((sigma * sigma) / 2);
}
