/**
 * Whether a request is taken, and where its prompt is read: decisions on numbers alone.
 *
 * Answers: more prompts than can be read, for seconds at a time. What can be on time goes where it
 * costs the fleet least; what cannot waits for spare time if that is likely to come; the rest is
 * turned away at once and told when there will be room.
 */
import { ENGINE_TIME_WEIGHT, LATE_SAFETY } from './policy.js';

/** What reading a prompt at one engine would mean; times in milliseconds. */
export interface Prospect {
  /** Until the engine starts on it. */
  waitMs: number;
  readMs: number;
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
  const punctual = findBest(options, (option) => isPunctual(option, demand), scoreOf);
  if (punctual !== undefined) return { kind: 'punctual', option: punctual };
  const late = demand.mayBeLate
    ? findBest(options, (option) => isOfUse(option, demand), lateScoreOf)
    : undefined;
  if (late !== undefined) return { kind: 'late', option: late };
  return resolveDecline(options, demand);
}

/** Time until the first event. */
export function resolveReadyMs({ waitMs, readMs, restMs }: Prospect): number {
  return waitMs + readMs + restMs;
}

function isPunctual(option: Prospect, { aimLeftMs, marginMs }: Demand): boolean {
  return !option.harmsOthers && resolveReadyMs(option) + marginMs <= aimLeftMs;
}

function isOfUse(option: Prospect, { timeLeftMs, marginMs }: Demand): boolean {
  const expectedMs = option.waitMs + option.lateMs + option.readMs + option.restMs;
  return LATE_SAFETY * expectedMs + marginMs <= timeLeftMs;
}

function scoreOf(option: Prospect): number {
  return resolveReadyMs(option) + ENGINE_TIME_WEIGHT * option.readMs + option.surchargeMs;
}

function lateScoreOf(option: Prospect): number {
  return scoreOf(option) + option.lateMs;
}

function findBest<Option>(
  options: readonly Option[],
  isFit: (option: Option) => boolean,
  score: (option: Option) => number,
): Option | undefined {
  let best: Option | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const option of options) {
    if (!isFit(option)) continue;
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
  { aimLeftMs, timeLeftMs, marginMs }: Demand,
): Admission<never> {
  let backlogMs = Number.POSITIVE_INFINITY;
  let surplusMs = Number.POSITIVE_INFINITY;
  for (const option of options) {
    backlogMs = Math.min(backlogMs, option.waitMs);
    surplusMs = Math.min(surplusMs, resolveReadyMs(option) + marginMs - aimLeftMs);
  }
  const drainedMs = Math.max(MIN_RETRY_AFTER_MS, surplusMs * 2);
  return {
    kind: 'declined',
    retryAfterMs: Math.min(timeLeftMs * MAX_WAIT_SHARE, drainedMs),
    backlogMs,
  };
}
