/**
 * Admission control: decides whether a request is admitted and which engine prefills its prompt.
 * A request that can meet its latency objective goes to the cheapest engine. One that cannot is
 * queued for a later objective if a turn is reserved for it, for spare capacity if that is likely to
 * become available before its deadline, and is otherwise shed at once with a Retry-After.
 */
import { ENGINE_TIME_WEIGHT, LATE_SAFETY_FACTOR, MAX_ENGINE_TIME_WEIGHT } from './policy.js';

/** Estimates for prefilling a prompt at one engine; times in milliseconds. */
export interface PrefillEstimate {
  /** Queueing delay until the engine starts the prefill. */
  queueDelayMs: number;
  prefillMs: number;
  /** The prefill time as it counts in the engine's cost; 0 when cache affinity is off. */
  scoredPrefillMs: number;
  /** From the end of the prefill to the first event. */
  handoffMs: number;
  /** Other costs of the engine, as time. */
  penaltyMs: number;
  /** A waiting request of the same or a more urgent rank would miss its objective. */
  delaysOthers: boolean;
  /** Work queued at the engine for requests that will miss their objective. */
  lateBacklogMs: number;
}

/** The decision on a request. */
export type Admission<Option extends PrefillEstimate> =
  | { kind: 'punctual'; option: Option }
  | { kind: 'late'; option: Option }
  /** `option` is the cheapest one. */
  | { kind: 'declined'; option: Option | undefined; retryAfterMs: number; backlogMs: number };

/** The request's side of the decision. */
export interface AdmissionTerms {
  /** Time until the latency objective, in milliseconds. */
  objectiveLeftMs: number;
  /** Time until the deadline, in milliseconds. */
  timeLeftMs: number;
  /** Margin added to latency estimates, in milliseconds. */
  marginMs: number;
  mayBeLate: boolean;
  /** Share of the engines' time that requests within their objective leave. */
  spareCapacity: number;
}

/** Minimum Retry-After, in ms: some round trips, within which one prefill has ended. */
const MIN_RETRY_AFTER_MS = 50;
/** Maximum Retry-After, as a share of the time left until the deadline. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/**
 * Decides on a request.
 *
 * @param options engines that could prefill its prompt; not empty
 * @param terms the request's objective, deadline and margin
 */
export function resolveAdmission<Option extends PrefillEstimate>(
  options: readonly Option[],
  terms: AdmissionTerms,
): Admission<Option> {
  const best = findCheapest(options, (option) => costOf(option, terms));
  if (best !== undefined && meetsObjective(best, terms)) return { kind: 'punctual', option: best };
  const eligible = terms.mayBeLate ? options.filter((option) => meetsDeadline(option, terms)) : [];
  const late = findCheapest(eligible, (option) => costOf(option, terms) + option.lateBacklogMs);
  if (late !== undefined) return { kind: 'late', option: late };
  return { option: best, ...resolveDecline(options, terms) };
}

/**
 * Decides on a request that goes before others: it has its turn at its objective even where it misses
 * that, as long as it can meet its deadline.
 *
 * @param options engines that could prefill its prompt; not empty
 * @param terms the request's deadline and margin
 */
export function resolvePriorAdmission<Option extends PrefillEstimate>(
  options: readonly Option[],
  terms: AdmissionTerms,
): Admission<Option> {
  const { timeLeftMs, marginMs } = terms;
  const eligible = options.filter((option) => resolveFirstTokenMs(option) + marginMs <= timeLeftMs);
  const option = findCheapest(eligible, (candidate) => costOf(candidate, terms));
  if (option !== undefined) return { kind: 'punctual', option };
  return { option: options[0], ...resolveDecline(options, terms) };
}

/**
 * Chooses the engine at which a request is queued for a later objective than its own, as the terms
 * state it; `undefined` if none can meet that without delaying others.
 *
 * @param options engines that could prefill its prompt, estimated for the later objective
 * @param terms the later objective, and the request's margin
 */
export function resolveReservation<Option extends PrefillEstimate>(
  options: readonly Option[],
  terms: AdmissionTerms,
): Option | undefined {
  const eligible = options.filter((option) => meetsObjective(option, terms));
  return findCheapest(eligible, (option) => costOf(option, terms));
}

/**
 * Retry-After for a caller: early enough that a retry can still be served before the deadline.
 *
 * @param timeLeftMs time until the deadline, in milliseconds
 * @param waitMs time until there will be capacity, in milliseconds
 */
export function resolveRetryAfterMs(timeLeftMs: number, waitMs: number): number {
  return Math.min(timeLeftMs * MAX_RETRY_AFTER_SHARE, waitMs);
}

/** Estimated time to the first token, in milliseconds. */
export function resolveFirstTokenMs({
  queueDelayMs,
  prefillMs,
  handoffMs,
}: PrefillEstimate): number {
  return queueDelayMs + prefillMs + handoffMs;
}

function meetsObjective(
  option: PrefillEstimate,
  { objectiveLeftMs, marginMs }: AdmissionTerms,
): boolean {
  return !option.delaysOthers && resolveFirstTokenMs(option) + marginMs <= objectiveLeftMs;
}

function meetsDeadline(option: PrefillEstimate, terms: AdmissionTerms): boolean {
  const expectedMs = resolveLateFirstTokenMs(option, terms.spareCapacity);
  return LATE_SAFETY_FACTOR * expectedMs + terms.marginMs <= terms.timeLeftMs;
}

/** Estimated time to the first token of a request that uses spare capacity, in milliseconds. */
export function resolveLateFirstTokenMs(option: PrefillEstimate, spareCapacity: number): number {
  const { queueDelayMs, lateBacklogMs, prefillMs, handoffMs } = option;
  return (queueDelayMs + lateBacklogMs) / spareCapacity + prefillMs + handoffMs;
}

/**
 * Cost of an engine: the time to the first token plus the engine time used, weighted higher the less
 * spare capacity there is. Only the cheapest engine is considered: in overload, moving a prompt to an
 * engine without its cached parts would cost capacity for other requests.
 */
function costOf(option: PrefillEstimate, { spareCapacity }: AdmissionTerms): number {
  const weight = Math.min(MAX_ENGINE_TIME_WEIGHT, ENGINE_TIME_WEIGHT / spareCapacity);
  const { queueDelayMs, scoredPrefillMs, handoffMs, penaltyMs } = option;
  return queueDelayMs + handoffMs + (1 + weight) * scoredPrefillMs + penaltyMs;
}

function findCheapest<Option>(
  options: readonly Option[],
  costOfOption: (option: Option) => number,
): Option | undefined {
  let cheapest: Option | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const option of options) {
    const cost = costOfOption(option);
    if (cost >= lowestCost) continue;
    cheapest = option;
    lowestCost = cost;
  }
  return cheapest;
}

/** Declines with a Retry-After at which the shortest queue has drained enough to meet the objective. */
function resolveDecline(
  options: readonly PrefillEstimate[],
  { objectiveLeftMs, timeLeftMs, marginMs, spareCapacity }: AdmissionTerms,
): Omit<Admission<never> & { kind: 'declined' }, 'option'> {
  let backlogMs = Number.POSITIVE_INFINITY;
  let excessMs = Number.POSITIVE_INFINITY;
  for (const option of options) {
    backlogMs = Math.min(backlogMs, option.queueDelayMs);
    excessMs = Math.min(excessMs, resolveFirstTokenMs(option) + marginMs - objectiveLeftMs);
  }
  const drainMs = Math.max(MIN_RETRY_AFTER_MS, excessMs / spareCapacity);
  return {
    kind: 'declined',
    retryAfterMs: resolveRetryAfterMs(timeLeftMs, drainMs),
    backlogMs,
  };
}
