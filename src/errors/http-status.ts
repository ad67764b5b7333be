/**
 * The HTTP status that goes with each failure code, at the caller front and the operator front.
 */
import { match } from 'ts-pattern';
import type { FailureCode } from './failure.js';

/** HTTP statuses that the fronts answer with when something did not work. */
export type FailureStatus =
  400 | 401 | 403 | 404 | 408 | 409 | 413 | 422 | 429 | 431 | 500 | 502 | 503;

/**
 * Chooses the HTTP status for a failure.
 *
 * @param code the failure's reason
 */
export function resolveHttpStatus(code: FailureCode): FailureStatus {
  return match<FailureCode, FailureStatus>(code)
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
