/**
 * Decides whether a failed attempt is retried: only where that is provably safe, within the retry
 * budget and the deadline, after a jittered backoff. Retries, and those that the budget refused, are
 * counted by reason.
 */
import { match } from 'ts-pattern';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Clock, RandomSource } from '../task/index.js';
import type { RetryBudget } from './retry-budget.js';

/** Upper bound of the first backoff; it doubles with each retry, up to `MAX_BACKOFF_MS`. */
const INITIAL_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 500;
/** A resumption that found no place asks again after one to two times this long. */
const PLACEMENT_BACKOFF_MS = 150;
const RETRY_AFTER_MS = 1_000;

/** A failed attempt, with the state of its request. */
export interface FailedAttempt {
  /** Retries already spent on the request. */
  spent: number;
  failure: Failure;
  /** Whether this attempt or an earlier one may have started work. */
  mayHaveRun: boolean;
  /** Whether the request may be executed more than once. */
  repeatable: boolean;
  /** Deadline of the whole answer, on the node's clock. */
  deadlineAt: number;
  /** Whether the caller disconnected or cancelled. */
  isAborted: boolean;
  /** Whether placement excluded servers that had failed this request. */
  hasAvoided: boolean;
}

export type RetryDecision =
  | { kind: 'final'; failure: Failure }
  /**
   * `spent`: retries spent on the request, including the next one. `clearAvoided`: no other server
   * can take the request, so servers that failed it may be chosen again.
   */
  | { kind: 'again'; pauseMs: number; spent: number; clearAvoided: boolean };

export interface RetryParts {
  node: string;
  clock: Clock;
  random: RandomSource;
  budget: RetryBudget;
  metrics: Pick<Metrics, 'retries' | 'refusals'>;
  /** Most attempts of one request, not counting resumptions that started nothing. */
  maxAttempts: number;
}

export interface Retries {
  /** Spends the retry budget and counts the retry where there is to be one. */
  decide(attempt: FailedAttempt): RetryDecision;
}

/**
 * Creates the retry policy of a node.
 *
 * @param parts the clock, the budget and the limits
 */
export function createRetries(parts: RetryParts): Retries {
  const { node, clock, random, budget, metrics, maxAttempts } = parts;

  function decide(attempt: FailedAttempt): RetryDecision {
    const { failure, mayHaveRun, deadlineAt } = attempt;
    const final = resolveOutcome(failure, mayHaveRun);
    if (attempt.isAborted || !isRetryable(attempt)) return { kind: 'final', failure: final };
    if (mayHaveRun && !attempt.repeatable) return { kind: 'final', failure: final };
    const isResumption = isUnstartedResumption(attempt);
    const spent = attempt.spent + (isResumption ? 0 : 1);
    if (spent >= maxAttempts) return { kind: 'final', failure: final };
    const pauseMs = isResumption
      ? resolvePlacementBackoff(random)
      : resolveRetryPause(spent, random);
    if (clock.now() + pauseMs >= deadlineAt) {
      return { kind: 'final', failure: resolveOutcome(deadlineExpired(node, failure), mayHaveRun) };
    }
    // A resumption whose attempt started nothing put no load on a server, so it spends no budget.
    const cause = failure.outcome === 'not-run' ? 'declined' : 'cut';
    if (!isResumption && !budget.spend(cause)) {
      metrics.refusals.inc({ reason: 'retry-budget-spent', step: failure.step });
      return { kind: 'final', failure: final };
    }
    metrics.retries.inc({ reason: failure.code });
    return { kind: 'again', pauseMs, spent, clearAvoided: lacksOtherServers(attempt) };
  }

  return { decide };
}

/**
 * Exponential backoff with full jitter, in milliseconds.
 *
 * @param retry number of the retry that it precedes, from 1
 * @param random the source of the jitter
 */
export function resolveRetryPause(retry: number, random: RandomSource): number {
  return random.next() * Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (retry - 1));
}

/** Jittered backoff before a resumption asks for a place again, in milliseconds. */
function resolvePlacementBackoff(random: RandomSource): number {
  return PLACEMENT_BACKOFF_MS * (1 + random.next());
}

/**
 * Reports a request as `unknown` instead of `not-run` when any attempt may have run.
 *
 * @param failure failure of the last attempt
 * @param mayHaveRun whether any attempt may have started work
 */
export function resolveOutcome(failure: Failure, mayHaveRun: boolean): Failure {
  return mayHaveRun ? { ...failure, outcome: 'unknown' } : failure;
}

/**
 * Whether an earlier attempt may have begun the answer and this one started nothing. Waiting for a
 * place is worthwhile then: the answer resumes after the last token delivered.
 */
function isUnstartedResumption({ failure, mayHaveRun }: FailedAttempt): boolean {
  return mayHaveRun && failure.outcome === 'not-run';
}

/** Whether placement found no server besides those excluded for failing the request. */
function lacksOtherServers({ failure, hasAvoided }: FailedAttempt): boolean {
  return hasAvoided && failure.code === 'no-backend-server' && !isFromServer(failure);
}

/** Whether a backend server declined or failed the attempt; another one may have capacity. */
function isFromServer({ step }: Failure): boolean {
  return step === 'engine.connect' || step === 'service.call';
}

/**
 * An unreachable holder is not retried: a successor takes seconds, so the caller gets a Retry-After
 * instead.
 */
function isRetryable(attempt: FailedAttempt): boolean {
  const { failure } = attempt;
  if (failure.code === 'cancelled' || failure.code === 'deadline-expired') return false;
  if (isFromServer(failure) || lacksOtherServers(attempt)) return true;
  if (isUnstartedResumption(attempt)) return true;
  return match(failure.code)
    .with(
      'backend-server-unreachable',
      'backend-server-failed',
      'answer-incomplete',
      'lease-lost',
      () => true,
    )
    .otherwise(() => false);
}

function deadlineExpired(node: string, failure: Failure): Failure {
  return createRefusal({
    code: 'deadline-expired',
    message: `the deadline passed before the answer was complete; last failure: ${failure.message}`,
    step: failure.step,
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
