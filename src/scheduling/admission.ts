/**
 * Whether a request is taken, and where its prompt is read: decisions on numbers alone.
 *
 * Answers: more prompts than can be read, for seconds at a time. What can be on time goes where it
 * costs the fleet least; what cannot waits for spare time if that is likely to come; the rest is
 * turned away at once and told when there will be room.
 */
import { ENGINE_TIME_WEIGHT, LATE_SAFETY_FACTOR, MAX_ENGINE_TIME_WEIGHT } from './policy.js';

/** What reading a prompt at one engine would mean; times in milliseconds. */
export interface PrefillEstimate {
  /** Until the engine starts on it. */
  queueDelayMs: number;
  prefillMs: number;
  /** Time of an engine that the choice goes by. */
  scoredPrefillMs: number;
  /** From the end of the read to the first event. */
  handoffMs: number;
  /** What the place costs besides, as time. */
  penaltyMs: number;
  /** Another request that is as urgent would become late. */
  delaysOthers: boolean;
  /** Work that waits there although it will be late. */
  lateBacklogMs: number;
}

/** What is decided on a request. */
export type Admission<Option extends PrefillEstimate> =
  | { kind: 'punctual'; option: Option }
  | { kind: 'late'; option: Option }
  | { kind: 'declined'; retryAfterMs: number; backlogMs: number };

/** What is known of the request. */
export interface AdmissionTerms {
  objectiveLeftMs: number;
  timeLeftMs: number;
  /** Time by which predictions are usually exceeded, in milliseconds. */
  marginMs: number;
  mayBeLate: boolean;
  /** Part of the engines' time that is left beside what is on time. */
  spareCapacity: number;
}

/** Shortest time after which a refused caller is told to come back, in ms: several ways there and
 * back, within which one read has ended. */
const MIN_RETRY_AFTER_MS = 50;
/** Longest part of the time left after which callers come back as told. */
const MAX_WAIT_SHARE = 1 / 3;

/**
 * Decides on a request.
 *
 * @param options where its prompt could be read; not empty
 * @param demand what is known of it
 */
export function resolveAdmission<Option extends PrefillEstimate>(
  options: readonly Option[],
  demand: AdmissionTerms,
): Admission<Option> {
  const best = findBest(options, (option) => scoreOf(option, demand));
  if (best !== undefined && isPunctual(best, demand)) return { kind: 'punctual', option: best };
  const ofUse = demand.mayBeLate ? options.filter((option) => isOfUse(option, demand)) : [];
  const late = findBest(ofUse, (option) => scoreOf(option, demand) + option.lateBacklogMs);
  if (late !== undefined) return { kind: 'late', option: late };
  return resolveDecline(options, demand);
}

/**
 * Time after which a caller is told to come back: while it can still be served.
 *
 * @param timeLeftMs time until the answer is of no use, in milliseconds
 * @param waitMs time until there will be room, in milliseconds
 */
export function resolveRetryAfterMs(timeLeftMs: number, waitMs: number): number {
  return Math.min(timeLeftMs * MAX_WAIT_SHARE, waitMs);
}

/** Time until the first event. */
export function resolveFirstTokenMs({
  queueDelayMs: waitMs,
  prefillMs: readMs,
  handoffMs: restMs,
}: PrefillEstimate): number {
  return waitMs + readMs + restMs;
}

function isPunctual(
  option: PrefillEstimate,
  { objectiveLeftMs: aimLeftMs, marginMs }: AdmissionTerms,
): boolean {
  return !option.delaysOthers && resolveFirstTokenMs(option) + marginMs <= aimLeftMs;
}

function isOfUse(option: PrefillEstimate, demand: AdmissionTerms): boolean {
  const expectedMs = resolveLateFirstTokenMs(option, demand.spareCapacity);
  return LATE_SAFETY_FACTOR * expectedMs + demand.marginMs <= demand.timeLeftMs;
}

/** Time until the first event of a request that is read in spare time. */
export function resolveLateFirstTokenMs(option: PrefillEstimate, spareShare: number): number {
  const {
    queueDelayMs: waitMs,
    lateBacklogMs: lateMs,
    prefillMs: readMs,
    handoffMs: restMs,
  } = option;
  return (waitMs + lateMs) / spareShare + readMs + restMs;
}

/**
 * What a place costs: the time until the first event, and the engine's time, which is dearer the less
 * of it is left. A request takes the cheapest place or none: going on to the next one in overload,
 * where all parts have to be read again, takes the time of two other requests for one.
 */
function scoreOf(option: PrefillEstimate, { spareCapacity: spareShare }: AdmissionTerms): number {
  const weight = Math.min(MAX_ENGINE_TIME_WEIGHT, ENGINE_TIME_WEIGHT / spareShare);
  const {
    queueDelayMs: waitMs,
    scoredPrefillMs: weighedReadMs,
    handoffMs: restMs,
    penaltyMs: surchargeMs,
  } = option;
  return waitMs + restMs + (1 + weight) * weighedReadMs + surchargeMs;
}

function findBest<Option>(
  options: readonly Option[],
  score: (option: Option) => number,
): Option | undefined {
  let best: Option | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const option of options) {
    const found = score(option);
    if (found >= bestScore) continue;
    best = option;
    bestScore = found;
  }
  return best;
}

/** The caller comes back when the shortest queue has drained as far as it has to. */
function resolveDecline(
  options: readonly PrefillEstimate[],
  { objectiveLeftMs: aimLeftMs, timeLeftMs, marginMs, spareCapacity: spareShare }: AdmissionTerms,
): Admission<never> {
  let backlogMs = Number.POSITIVE_INFINITY;
  let surplusMs = Number.POSITIVE_INFINITY;
  for (const option of options) {
    backlogMs = Math.min(backlogMs, option.queueDelayMs);
    surplusMs = Math.min(surplusMs, resolveFirstTokenMs(option) + marginMs - aimLeftMs);
  }
  const drainedMs = Math.max(MIN_RETRY_AFTER_MS, surplusMs / spareShare);
  return {
    kind: 'declined',
    retryAfterMs: resolveRetryAfterMs(timeLeftMs, drainedMs),
    backlogMs,
  };
}
