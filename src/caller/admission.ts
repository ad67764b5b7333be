/**
 * Middleware that runs before a request's body is read: assigns an id, authenticates the team by its
 * API key, and refuses new work while the node is not ready.
 */
import { createHash } from 'node:crypto';
import type { Context, MiddlewareHandler } from 'hono';
import { match } from 'ts-pattern';
import type { Team } from '../configuration/index.js';
import { createRefusal, type Failure } from '../errors/index.js';
import { answerFailure } from './answers.js';
import type { CallerEnvironment } from './environment.js';
import type { CallerParts } from './parts.js';

const BEARER = 'Bearer ';
const RETRY_AFTER_MS = 1_000;

/**
 * Authenticates requests; handlers read the id and the team from the context.
 *
 * @param parts the node's configuration and clock
 */
export function createAuthentication(parts: CallerParts): MiddlewareHandler<CallerEnvironment> {
  return async (context, next) => {
    const requestId = parts.createRequestId();
    context.header('x-request-id', requestId);
    const team = findTeam(parts, context);
    if (team === undefined) return refuse(parts, context, resolveAuthenticationFailure(parts));
    context.set('arrival', { requestId, team, arrivedAt: parts.clock.now() });
    return next();
  };
}

/**
 * Refuses new work while the node is not ready.
 *
 * @param parts the node's readiness
 */
export function createReadinessGate(parts: CallerParts): MiddlewareHandler<CallerEnvironment> {
  return async (context, next) => {
    const failure = match(parts.readiness())
      .with('ready', () => undefined)
      .with('leaving', () => leaving(parts.node))
      .with('configuration-stale', () => stale(parts.node))
      .exhaustive();
    if (failure !== undefined) return refuse(parts, context, failure);
    return next();
  };
}

function findTeam(parts: CallerParts, context: Context): Team | undefined {
  const header = context.req.header('authorization') ?? '';
  if (!header.startsWith(BEARER)) return undefined;
  const hash = createHash('sha256').update(header.slice(BEARER.length).trim()).digest('hex');
  return parts.replica.current().teamsByKeyHash.get(hash);
}

/** Without a current configuration an unknown key may be valid, so the failure is `configuration-stale`. */
function resolveAuthenticationFailure(parts: CallerParts): Failure {
  const { node } = parts;
  return parts.readiness() === 'configuration-stale' ? stale(node) : unauthenticated(node);
}

/**
 * Answers with a failure and counts it in the metrics.
 *
 * @param parts the node's metrics
 * @param context the request's context
 * @param failure why the request was not run
 */
export function refuse(parts: CallerParts, context: Context, failure: Failure): Response {
  parts.metrics.refusals.inc({ reason: failure.code, step: failure.step });
  return answerFailure(context, failure);
}

function unauthenticated(node: string): Failure {
  return createRefusal({
    code: 'unauthenticated',
    message: 'send your API key as "Authorization: Bearer <key>"',
    step: 'request.authenticate',
    peer: node,
    field: 'Authorization',
  });
}

function leaving(node: string): Failure {
  return createRefusal({
    code: 'leaving',
    message: 'this node is shutting down; ask /v1/entry-points of another node which to use',
    step: 'request.admit',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function stale(node: string): Failure {
  return createRefusal({
    code: 'configuration-stale',
    message: 'this node has no current configuration; use another entry point',
    step: 'request.admit',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
