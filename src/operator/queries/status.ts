/**
 * `GET /v1/status` and `GET /v1/in-force/:version`: the node, and how far a change has come.
 */
import type { Hono } from 'hono';
import type { NodeState } from '../../links/messages.js';
import { answerFailure } from '../answers.js';
import { createMalformed } from '../input.js';
import type { OperatorParts } from '../parts.js';
import type { InForce, NodeStatus } from '../status.js';

const VERSION_PATTERN = /^\d{1,15}$/;

/**
 * Adds the queries to the front.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addStatusQueries(app: Hono, parts: OperatorParts): void {
  app.get('/v1/status', (context) => context.json(parts.status()));
  app.get('/v1/in-force/:version', (context) => {
    const text = context.req.param('version');
    const status = parts.status();
    if (!VERSION_PATTERN.test(text)) {
      const failure = createMalformed(status.node.node, 'version', 'expected a whole number');
      return answerFailure(context, failure);
    }
    return context.json(resolveInForce(status, Number(text)));
  });
}

/**
 * Counts the nodes that have a version in force.
 *
 * @param status what a node knows of all nodes
 * @param version the version asked for
 */
export function resolveInForce(status: NodeStatus, version: number): InForce {
  const nodes = new Map<string, NodeState>();
  for (const state of status.nodes) nodes.set(state.node, state);
  const own = { ...status.node, configurationVersion: status.configurationVersion };
  nodes.set(own.node, own);
  const behind: string[] = [];
  for (const state of nodes.values()) {
    if (state.configurationVersion < version) behind.push(state.node);
  }
  return { version, inForce: nodes.size - behind.length, nodes: nodes.size, behind: behind.sort() };
}
