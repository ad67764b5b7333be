/**
 * What log lines of the scheduler say of a request and of the estimate that decided on it.
 */
import type { EventFields } from '../events/index.js';
import type { AdmissionTerms } from './admission.js';
import type { Job } from './job.js';
import type { PrefillOption } from './prefill-options.js';

/** What a line says of a request. */
export function describeJob({ requestId, rank, prompt, isReturn }: Job): EventFields {
  return { request: requestId, rank, tokens: prompt.tokens, isReturn };
}

/**
 * What a line says of an estimate; times in milliseconds.
 *
 * @param option the engine that was considered; `undefined` if there was none
 * @param terms the request's side of the decision
 */
export function describeEstimate(
  option: PrefillOption | undefined,
  terms: AdmissionTerms,
): EventFields {
  if (option === undefined) return {};
  return {
    server: option.server.id,
    isLocal: option.isLocal,
    prefillMs: Math.round(option.prefillMs),
    queueDelayMs: Math.round(option.queueDelayMs),
    lateBacklogMs: Math.round(option.lateBacklogMs),
    handoffMs: Math.round(option.handoffMs),
    delaysOthers: option.delaysOthers,
    marginMs: Math.round(terms.marginMs),
    spareCapacity: Number(terms.spareCapacity.toFixed(3)),
    objectiveLeftMs: Math.round(terms.objectiveLeftMs),
    timeLeftMs: Math.round(terms.timeLeftMs),
  };
}
