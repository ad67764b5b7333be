/**
 * `GET /v1/entry-points?zone=…`: the addresses of nodes to use, and for how long. Needs no API key.
 * Nodes that are leaving are not listed.
 */
import type { Handler } from 'hono';
import type { CallerParts } from '../parts.js';

/**
 * Creates the handler.
 *
 * @param parts the node's membership
 */
export function createEntryPointsHandler(parts: CallerParts): Handler {
  return (context) => context.json(parts.entryPoints(context.req.query('zone')));
}
