/**
 * Whether a request is taken, and where its prompt is read: decisions on numbers alone.
 *
 * Answers: more prompts than can be read, for seconds at a time. What can be on time goes where it
 * costs the fleet least; what cannot waits for spare time if that is likely to come; the rest is
 * turned away at once and told when there will be room.
 */
import { ENGINE_TIME_WEIGHT, LATE_SAFETY, MOST_ENGINE_TIME_WEIGHT } from './policy.js';

/** What reading a prompt at one engine would mean; times in milliseconds. */
export interface Prospect {
  /** Until the engine starts on it. */
  waitMs: number;
  readMs: number;
  /** Time of an engine that the choice goes by. */
  weighedReadMs: number;
  /** From the end of the read to the first event. */
  restMs: number;
  /** What the place costs besides, as time. */
  surchargeMs: number;
  /** Another request that is as urgent would become late. */
  harmsOthers: boolean;
  /** Work that waits there although it will be late. */
  lateMs: number;
}

/** What is decided on a request. */
export type Admission<Option extends Prospect> =
  | { kind: 'punctual'; option: Option }
  | { kind: 'late'; option: Option }
  | { kind: 'declined'; retryAfterMs: number; backlogMs: number };

/** What is known of the request. */
export interface Demand {
  aimLeftMs: number;
  timeLeftMs: number;
  /** Time by which predictions are usually exceeded, in milliseconds. */
  marginMs: number;
  mayBeLate: boolean;
  /** Part of the engines' time that is left beside what is on time. */
  spareShare: number;
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
export function resolveAdmission<Option extends Prospect>(
  options: readonly Option[],
  demand: Demand,
): Admission<Option> {
  const best = findBest(options, (option) => scoreOf(option, demand));
  if (best !== undefined && isPunctual(best, demand)) return { kind: 'punctual', option: best };
  const ofUse = demand.mayBeLate ? options.filter((option) => isOfUse(option, demand)) : [];
  const late = findBest(ofUse, (option) => scoreOf(option, demand) + option.lateMs);
  if (late !== undefined) return { kind: 'late', option: late };
  return resolveDecline(options, demand);
}

/**
 * Time after which a caller is told to come back: while it can still be served.
 *
 * @param timeLeftMs time until the answer is of no use, in milliseconds
 * @param waitMs time until there will be room, in milliseconds
 */
export function resolveReturnMs(timeLeftMs: number, waitMs: number): number {
  return Math.min(timeLeftMs * MAX_WAIT_SHARE, waitMs);
}

/** Time until the first event. */
export function resolveReadyMs({ waitMs, readMs, restMs }: Prospect): number {
  return waitMs + readMs + restMs;
}

function isPunctual(option: Prospect, { aimLeftMs, marginMs }: Demand): boolean {
  return !option.harmsOthers && resolveReadyMs(option) + marginMs <= aimLeftMs;
}

function isOfUse(option: Prospect, demand: Demand): boolean {
  const expectedMs = resolveLateReadyMs(option, demand.spareShare);
  return LATE_SAFETY * expectedMs + demand.marginMs <= demand.timeLeftMs;
}

/** Time until the first event of a request that is read in spare time. */
export function resolveLateReadyMs(option: Prospect, spareShare: number): number {
  const { waitMs, lateMs, readMs, restMs } = option;
  return (waitMs + lateMs) / spareShare + readMs + restMs;
}

/**
 * What a place costs: the time until the first event, and the engine's time, which is dearer the less
 * of it is left. A request takes the cheapest place or none: going on to the next one in overload,
 * where all parts have to be read again, takes the time of two other requests for one.
 */
function scoreOf(option: Prospect, { spareShare }: Demand): number {
  const weight = Math.min(MOST_ENGINE_TIME_WEIGHT, ENGINE_TIME_WEIGHT / spareShare);
  const { waitMs, weighedReadMs, restMs, surchargeMs } = option;
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
  options: readonly Prospect[],
  { aimLeftMs, timeLeftMs, marginMs, spareShare }: Demand,
): Admission<never> {
  let backlogMs = Number.POSITIVE_INFINITY;
  let surplusMs = Number.POSITIVE_INFINITY;
  for (const option of options) {
    backlogMs = Math.min(backlogMs, option.waitMs);
    surplusMs = Math.min(surplusMs, resolveReadyMs(option) + marginMs - aimLeftMs);
  }
  const drainedMs = Math.max(MIN_RETRY_AFTER_MS, surplusMs / spareShare);
  return {
    kind: 'declined',
    retryAfterMs: resolveReturnMs(timeLeftMs, drainedMs),
    backlogMs,
  };
}
