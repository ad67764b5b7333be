/**
 * The HTTP status that goes with each failure, at the caller front and the operator front. A status that says that a
 * request has not run goes only with the outcome `not-run`; what may have run has statuses that promise nothing.
 */
import { match } from 'ts-pattern';
import type { Failure, FailureCode } from './failure.js';

/** HTTP statuses of requests that provably started nothing. */
export type RefusalStatus =
  400 | 401 | 403 | 404 | 408 | 409 | 413 | 422 | 429 | 431 | 500 | 502 | 503;

/** HTTP statuses of requests that may have run. */
export type DoubtStatus = 409 | 500 | 502 | 504;

/** Statuses that callers take for a promise that a request has not run, so that they may send it again. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** HTTP statuses that the fronts answer with when something did not work. */
export type FailureStatus = RefusalStatus | DoubtStatus;

/**
 * Chooses the HTTP status for a failure.
 *
 * @param failure its reason, and whether work may have run
 */
export function resolveHttpStatus({ code, outcome }: Pick<Failure, 'code' | 'outcome'>) {
  return match<Failure['outcome'], FailureStatus>(outcome)
    .with('not-run', () => resolveRefusalStatus(code))
    .with('unknown', () => resolveDoubtStatus(code))
    .exhaustive();
}

/**
 * Whether callers take a status for a promise that a request has not run.
 *
 * @param status an HTTP status
 */
export function isPromise(status: number): boolean {
  return PROMISES.has(status);
}

function resolveRefusalStatus(code: FailureCode): RefusalStatus {
  return match<FailureCode, RefusalStatus>(code)
    .with('malformed-request', 'idempotency-key-missing', 'deadline-expired', () => 400)
    .with('unauthenticated', () => 401)
    .with('forbidden', 'no-binding', () => 403)
    .with('unknown-model', 'unknown-class', 'unknown-service', 'unknown-object', () => 404)
    .with('conflict', 'in-progress', 'drain-pending', () => 409)
    .with('request-timeout', () => 408)
    .with('body-too-large', () => 413)
    .with('headers-too-large', () => 431)
    .with('idempotency-key-reused', 'invalid-configuration', () => 422)
    .with('rate-limited', 'concurrency-limited', () => 429)
    .with('internal', () => 500)
    .with(
      'backend-server-failed',
      'answer-incomplete',
      'answer-mismatched',
      'outcome-unknown',
      () => 502,
    )
    .otherwise(() => 503);
}

function resolveDoubtStatus(code: FailureCode): DoubtStatus {
  return match<FailureCode, DoubtStatus>(code)
    .with('in-progress', () => 409)
    .with('internal', () => 500)
    .with('deadline-expired', () => 504)
    .otherwise(() => 502);
}
