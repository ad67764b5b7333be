/**
 * Lets in who has the operator token. The comparison takes the same time whatever was sent.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { MiddlewareHandler } from 'hono';
import { createRefusal } from '../errors/index.js';
import { answerFailure } from './answers.js';
import type { OperatorParts } from './parts.js';

const BEARER = /^Bearer (.+)$/i;

/**
 * Creates the check for `Authorization: Bearer <operator token>`.
 *
 * @param parts the token, and this node's name for the failure
 */
export function createAuthentication(
  parts: Pick<OperatorParts, 'token' | 'status' | 'metrics'>,
): MiddlewareHandler {
  const expected = digest(parts.token);
  return async (context, next) => {
    const sent = BEARER.exec(context.req.header('authorization') ?? '')?.[1];
    if (sent !== undefined && timingSafeEqual(digest(sent), expected)) {
      await next();
      return;
    }
    parts.metrics.refusals.inc({ reason: 'unauthenticated', step: 'request.authenticate' });
    const failure = createRefusal({
      code: 'unauthenticated',
      message: 'send the operator token as "Authorization: Bearer <token>"',
      field: 'authorization',
      step: 'request.authenticate',
      peer: parts.status().node.node,
    });
    return answerFailure(context, failure);
  };
}

function digest(value: string): Buffer {
  return createHash('sha256').update(value).digest();
}
