/**
 * The caller front: all that callers may ask of a node over HTTP.
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

/** The application that answers callers. */
export type CallerFront = Hono<CallerEnvironment>;

/**
 * Creates the application that answers callers.
 *
 * @param parts the node's parts
 */
export function createCallerFront(parts: CallerParts): CallerFront {
  const app = new Hono<CallerEnvironment>();
  const arrival = createAuthentication(parts);
  const gate = createReadinessGate(parts);
  const limit = bodyLimit({
    maxSize: parts.terms.maxBodyBytes,
    onError: (context) => refuse(parts, context, tooLarge(parts)),
  });

  app.get('/v1/entry-points', createEntryPointsHandler(parts));
  app.use('/v1/*', arrival);
  app.get('/v1/models', createModelsHandler(parts));
  app.get('/v1/requests/:id', createRequestHandler(parts));
  app.post(
    '/v1/chat/completions',
    gate,
    limit,
    createCompleteHandler(parts, parseChatRequest, new ChatShape()),
  );
  app.post(
    '/v1/completions',
    gate,
    limit,
    createCompleteHandler(parts, parseTextRequest, new TextShape()),
  );
  const callService = createCallServiceHandler(parts);
  app.all('/v1/services/:service', gate, limit, callService);
  app.all('/v1/services/:service/*', gate, limit, callService);

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
    message: `there is nothing at ${path}; the paths are in docs/API.md`,
    step: 'request.read',
    peer: parts.node,
    field: 'path',
  });
}
