/**
 * The caller front: a node's HTTP API for callers.
 */
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { createRefusal } from '../errors/index.js';
import { createAuthentication, createReadinessGate, refuse } from './admission.js';
import { createCallServiceHandler } from './commands/call-service.js';
import { createCompleteHandler } from './commands/complete.js';
import type { CallerEnvironment } from './environment.js';
import { parseChatRequest, parseTextRequest } from './input.js';
import { ChatShape, TextShape } from './openai.js';
import type { CallerParts } from './parts.js';
import { createEntryPointsHandler } from './queries/entry-points.js';
import { createModelsHandler } from './queries/models.js';
import { createRequestHandler } from './queries/request.js';
import { createInternalFailure } from './tracker.js';

/** The HTTP application for callers. */
export type CallerFront = Hono<CallerEnvironment>;

/**
 * Creates the HTTP application for callers.
 *
 * @param parts the node's parts
 */
export function createCallerFront(parts: CallerParts): CallerFront {
  const app = new Hono<CallerEnvironment>();
  const authentication = createAuthentication(parts);
  const readinessGate = createReadinessGate(parts);
  const bodySizeLimit = bodyLimit({
    maxSize: parts.terms.maxBodyBytes,
    onError: (context) => refuse(parts, context, tooLarge(parts)),
  });

  app.get('/v1/entry-points', createEntryPointsHandler(parts));
  app.use('/v1/*', authentication);
  app.get('/v1/models', createModelsHandler(parts));
  app.get('/v1/requests/:id', createRequestHandler(parts));
  app.post(
    '/v1/chat/completions',
    readinessGate,
    bodySizeLimit,
    createCompleteHandler(parts, parseChatRequest, new ChatShape()),
  );
  app.post(
    '/v1/completions',
    readinessGate,
    bodySizeLimit,
    createCompleteHandler(parts, parseTextRequest, new TextShape()),
  );
  const callService = createCallServiceHandler(parts);
  app.all('/v1/services/:service', readinessGate, bodySizeLimit, callService);
  app.all('/v1/services/:service/*', readinessGate, bodySizeLimit, callService);

  app.notFound((context) => refuse(parts, context, notFound(parts, context.req.path)));
  app.onError((error, context) => {
    parts.log.write('taskFailed', { task: 'caller front', error: String(error) });
    return refuse(parts, context, createInternalFailure(parts.node));
  });
  return app;
}

function tooLarge(parts: CallerParts) {
  return createRefusal({
    code: 'body-too-large',
    message: `the body is larger than ${parts.terms.maxBodyBytes} bytes`,
    step: 'request.read',
    peer: parts.node,
    field: 'body',
  });
}

function notFound(parts: CallerParts, path: string) {
  return createRefusal({
    code: 'unknown-object',
    message: `unknown path ${path}; docs/API.md lists the paths`,
    step: 'request.read',
    peer: parts.node,
    field: 'path',
  });
}
