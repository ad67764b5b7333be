/**
 * How the operator front answers: JSON, and failures in their one documented shape.
 */
import type { Context } from 'hono';
import type { Result } from 'ts-results-es';
import { createRefusal, resolveHttpStatus, type Failure } from '../errors/index.js';

const MS_PER_SECOND = 1_000;

/**
 * Answers with a failure: `{ error }`, its HTTP status, and `Retry-After` where waiting helps.
 *
 * @param context the request being answered
 * @param failure what did not work
 */
export function answerFailure(context: Context, failure: Failure): Response {
  if (failure.retryAfterMs !== undefined) {
    context.header('Retry-After', String(Math.ceil(failure.retryAfterMs / MS_PER_SECOND)));
  }
  return context.json({ error: failure }, resolveHttpStatus(failure));
}

/**
 * Answers with a value or with the failure in its place.
 *
 * @param context the request being answered
 * @param result what came of it
 */
export function answerResult(context: Context, result: Result<object, Failure>): Response {
  return result.isOk() ? context.json(result.value) : answerFailure(context, result.error);
}

/**
 * Builds the refusal of an object that does not exist.
 *
 * @param node name of this node
 * @param id the object, as `team/workshop`
 */
export function createUnknownObject(node: string, id: string): Failure {
  return createRefusal({
    code: 'unknown-object',
    message: `there is no ${id}`,
    field: id,
    step: 'request.resolve',
    peer: node,
  });
}
