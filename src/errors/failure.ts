/**
 * The one shape in which something that did not work is reported, inside a process, between
 * processes and to callers. It states truthfully whether the work ran, and where it stopped.
 */
import * as z from 'zod';
import { stepSchema } from './step.js';

/**
 * Machine-readable reasons. The HTTP status that callers see for each is in `http-status.ts`;
 * `docs/operators/refusals.md` says what each means and what to do.
 */
export const failureCodeSchema = z.enum([
  // The request itself is wrong
  'malformed-request',
  'body-too-large',
  'headers-too-large',
  'request-timeout',
  'unauthenticated',
  'forbidden',
  'unknown-model',
  'unknown-class',
  'unknown-service',
  'unknown-object',
  'no-binding',
  'deadline-expired',
  'idempotency-key-missing',
  'idempotency-key-reused',
  // The system declines for now
  'cannot-be-on-time',
  'rate-limited',
  'concurrency-limited',
  'queue-full',
  'in-progress',
  'no-backend-server',
  'leaving',
  'configuration-stale',
  'claims-unavailable',
  'retry-budget-spent',
  // The system or something behind it failed
  'holder-unreachable',
  'table-unavailable',
  'table-unknown',
  'object-store-unavailable',
  'backend-server-unreachable',
  'backend-server-failed',
  'answer-incomplete',
  'answer-mismatched',
  'outcome-unknown',
  'peer-unreachable',
  'conflict',
  'lease-lost',
  'order-refused',
  'drain-pending',
  'invalid-configuration',
  'cancelled',
  'internal',
]);

/** A machine-readable reason for a failure. */
export type FailureCode = z.infer<typeof failureCodeSchema>;

export const failureSchema = z.object({
  /** A code that a newer version added is read as `internal`. */
  code: failureCodeSchema.catch('internal'),
  /** What happened and what the reader can do next. */
  message: z.string(),
  /**
   * `not-run`: provably nothing was started. `unknown`: it may have run, and will not be run again
   * by the system.
   */
  outcome: z.enum(['not-run', 'unknown']),
  /** A step that a newer version added is read as `link.call`. */
  step: stepSchema.catch('link.call'),
  /** The process, VM or store that was being spoken to; this node's own name when local. */
  peer: z.string(),
  /** How long to wait before asking again, in milliseconds, where waiting helps. */
  retryAfterMs: z.number().nonnegative().optional(),
  /** The offending field, for requests and configurations that are wrong. */
  field: z.string().optional(),
});

/** Something that did not work, with its step and peer. */
export type Failure = z.infer<typeof failureSchema>;

/**
 * Builds a failure that provably started nothing.
 *
 * @param detail everything but the outcome
 */
export function createRefusal(detail: Omit<Failure, 'outcome'>): Failure {
  return { ...detail, outcome: 'not-run' };
}

/**
 * Builds a failure after which the work may have run.
 *
 * @param detail everything but the outcome
 */
export function createUnknownOutcome(detail: Omit<Failure, 'outcome'>): Failure {
  return { ...detail, outcome: 'unknown' };
}
