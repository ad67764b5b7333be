/**
 * How long a kind of work takes on the engines of a service, learnt from work that has ended. Nothing
 * is assumed of the engines: until the first piece of work has ended the pace is unknown, and
 * callers of this module must probe. All engines of a service are usually alike, so one pace is
 * learnt from all of them and a factor for each that differs (`engine-model.ts`).
 *
 * Answers: a cold start and a new kind of engine under full load. With a pace assumed for other
 * engines (300 tokens a ms where 64 was true), reads were queued and cut by wrong times.
 */
import { createLinearModel } from './least-squares.js';

/** An amount of work, in the quantities that its time grows with. */
export interface Work {
  /** Tokens that are read or moved. */
  tokens: number;
  /** Pairs of a token with one before it, which attention has to go through; 0 for plain moves. */
  pairs: number;
}

const TOKENS_UNIT = 1_000;
const PAIRS_UNIT = 1_000_000;
/** How far the weights may plausibly be from 0: a fixed part in ms, ms for 1,000 tokens (engines read
 * 10 tokens a ms and more), ms for a million pairs. They only say which term explains a first
 * observation; a few more observations override them. */
const PLAUSIBLE = [5, 100, 0.6] as const;
/** Chance part of a measured time: a fixed one in ms, the ways between gateways, and a relative one. */
const DEVIATION_MS = 3;
const DEVIATION_SHARE = 0.15;
/** A measured time counts as at most so many times the expected one, and as at least the inverse: one
 * engine that stands still must not change the pace of all. */
const MOST_SURPRISE = 2;

/** How long work takes. */
export interface LatencyModel {
  /** Whether any work has ended yet. */
  hasSamples(): boolean;
  /** Time that work takes, in milliseconds; 0 while unknown. */
  estimateMs(work: Work): number;
  /** Takes a measured time in, in milliseconds. */
  observe(work: Work, measuredMs: number): void;
}

/** Creates a pace that is unknown. */
export function createLatencyModel(): LatencyModel {
  const estimate = createLinearModel(PLAUSIBLE);
  let samples = 0;

  function expectMs(work: Work): number {
    return samples === 0 ? 0 : Math.max(0, estimate.predict(resolveTerms(work)));
  }

  return {
    hasSamples: () => samples > 0,
    estimateMs: expectMs,
    observe(work, measuredMs) {
      const expectedMs = expectMs(work);
      const believedMs = samples === 0 ? measuredMs : resolveBelieved(measuredMs, expectedMs);
      const deviationMs = DEVIATION_MS + DEVIATION_SHARE * believedMs;
      estimate.observe(resolveTerms(work), believedMs, deviationMs);
      samples += 1;
    },
  };
}

/**
 * The work of reading the end of a prompt whose beginning is cached.
 *
 * @param unread tokens to be read
 * @param cached tokens before them
 */
export function resolvePrefillWork(unread: number, cached: number): Work {
  return { tokens: unread, pairs: unread * (cached + unread / 2) };
}

function resolveTerms({ tokens, pairs }: Work): readonly number[] {
  return [1, tokens / TOKENS_UNIT, pairs / PAIRS_UNIT];
}

function resolveBelieved(measuredMs: number, expectedMs: number): number {
  const most = expectedMs * MOST_SURPRISE + DEVIATION_MS;
  const least = expectedMs / MOST_SURPRISE - DEVIATION_MS;
  return Math.min(most, Math.max(least, measuredMs));
}
