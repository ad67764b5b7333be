/**
 * Error answers to callers: a body that states whether the request ran, the step and the peer, and
 * `Retry-After` if the failure has one.
 */
import type { Context } from 'hono';
import { resolveHttpStatus, type Failure } from '../errors/index.js';

const MS_PER_SECOND = 1_000;

/** The body of an answer to a request that failed. */
export interface FailureBody {
  error: Failure & {
    /** OpenAI's error type. */
    type: string;
    param: string | null;
  };
}

/**
 * Creates the answer body for a failure.
 *
 * @param failure what went wrong
 */
export function createFailureBody(failure: Failure): FailureBody {
  const type = resolveHttpStatus(failure) < 500 ? 'invalid_request_error' : 'server_error';
  return { error: { ...failure, type, param: failure.field ?? null } };
}

/**
 * Answers with a failure.
 *
 * @param context the request's context
 * @param failure what went wrong
 */
export function answerFailure(context: Context, failure: Failure): Response {
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(failure.retryAfterMs / MS_PER_SECOND));
    context.header('Retry-After', String(seconds));
    context.header('Retry-After-Ms', String(Math.ceil(failure.retryAfterMs)));
  }
  if (failure.outcome === 'unknown') {
    // OpenAI's clients retry server errors unless this header says otherwise
    context.header('x-should-retry', 'false');
  }
  return context.json(createFailureBody(failure), resolveHttpStatus(failure));
}
