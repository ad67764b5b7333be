/**
 * `GET /v1/explain?team=&class=&model=` or `…&service=`: why requests go where they go.
 */
import type { Context, Hono } from 'hono';
import { explainRoute, type Target } from '../../configuration/index.js';
import { answerFailure } from '../answers.js';
import { createMalformed } from '../input.js';
import type { OperatorParts } from '../parts.js';

/**
 * Adds the query to the front.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addExplainQuery(app: Hono, parts: OperatorParts): void {
  app.get('/v1/explain', (context) => {
    const node = parts.status().node.node;
    const team = context.req.query('team');
    if (team === undefined)
      return answerFailure(context, createMalformed(node, 'team', 'is missing'));
    const requestClass = context.req.query('class');
    if (requestClass === undefined) {
      return answerFailure(context, createMalformed(node, 'class', 'is missing'));
    }
    const target = readTarget(context);
    if (target === undefined) {
      const message = 'expected exactly one of "model" and "service"';
      return answerFailure(context, createMalformed(node, 'model', message));
    }
    const query = { team, class: requestClass, target };
    return context.json(explainRoute(parts.replica.current(), query, parts.vms(), node));
  });
}

function readTarget(context: Context): Target | undefined {
  const model = context.req.query('model');
  const service = context.req.query('service');
  if (model !== undefined) return service === undefined ? { model } : undefined;
  return service === undefined ? undefined : { service };
}
