/**
 * `GET /v1/entry-points?zone=…`: which addresses to use and for how long. Needs no API key, since a
 * caller asks before it can do anything else. Nodes that leave are not among them.
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
