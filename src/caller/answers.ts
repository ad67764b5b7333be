/**
 * How answers to callers look when something did not work: one documented shape, with whether the
 * request ran, the step and the peer, and `Retry-After` where waiting helps.
 */
import type { Context } from 'hono';
import { resolveHttpStatus, type Failure } from '../errors/index.js';

const MS_PER_SECOND = 1_000;

/** The body of an answer to a request that failed. */
export interface FailureBody {
  error: Failure & {
    /** As OpenAI's clients expect it. */
    type: string;
    param: string | null;
  };
}

/**
 * The body for a failure.
 *
 * @param failure what went wrong
 */
export function createFailureBody(failure: Failure): FailureBody {
  const type = resolveHttpStatus(failure.code) < 500 ? 'invalid_request_error' : 'server_error';
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
    // OpenAI's clients repeat by themselves unless told not to.
    context.header('x-should-retry', 'false');
  }
  return context.json(createFailureBody(failure), resolveHttpStatus(failure.code));
}
