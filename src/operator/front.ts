/**
 * The operator front: configuration, status, health and metrics over HTTP.
 */
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { createRefusal } from '../errors/index.js';
import { answerFailure } from './answers.js';
import { createAuthentication } from './authenticate.js';
import { addChangesCommand } from './commands/changes.js';
import { addLabelsCommand } from './commands/labels.js';
import { addVmCommands } from './commands/vms.js';
import type { OperatorParts } from './parts.js';
import { addExplainQuery } from './queries/explain.js';
import { addHealthQueries } from './queries/health.js';
import { addObjectQueries } from './queries/objects.js';
import { addStatusQueries } from './queries/status.js';
import { addWatchQuery } from './queries/watch.js';

/** Largest body taken, in bytes. */
const MAX_BODY_BYTES = 8_000_000;

/**
 * Creates the operator front. Its `fetch` is served by the node.
 *
 * @param parts what it is made of
 */
export function createOperatorFront(parts: OperatorParts): Hono {
  const app = new Hono();
  addHealthQueries(app, parts);
  app.use('/v1/*', createAuthentication(parts));
  app.use('/v1/*', createBodyLimit(parts));
  addObjectQueries(app, parts);
  addExplainQuery(app, parts);
  addStatusQueries(app, parts);
  addWatchQuery(app, parts);
  addChangesCommand(app, parts);
  addLabelsCommand(app, parts);
  addVmCommands(app, parts);
  addFallbacks(app, parts);
  return app;
}

function createBodyLimit(parts: OperatorParts) {
  return bodyLimit({
    maxSize: MAX_BODY_BYTES,
    onError: (context) => {
      const failure = createRefusal({
        code: 'body-too-large',
        message: `expected at most ${MAX_BODY_BYTES} bytes; apply the objects in several files`,
        step: 'request.read',
        peer: parts.status().node.node,
      });
      return answerFailure(context, failure);
    },
  });
}

function addFallbacks(app: Hono, parts: OperatorParts): void {
  app.notFound((context) => {
    const failure = createRefusal({
      code: 'unknown-object',
      message: `there is nothing at ${context.req.method} ${context.req.path}`,
      field: 'path',
      step: 'request.read',
      peer: parts.status().node.node,
    });
    return answerFailure(context, failure);
  });
  app.onError((error, context) => {
    parts.log.write('taskFailed', { task: 'operator', error: String(error) });
    const failure = createRefusal({
      code: 'internal',
      message: 'the request could not be handled; see the log of this node',
      step: 'request.read',
      peer: parts.status().node.node,
    });
    // A command may have been written before the error arose
    const outcome = context.req.method === 'GET' ? 'not-run' : 'unknown';
    return answerFailure(context, { ...failure, outcome });
  });
}
