/** `GET /v1/requests/{id}`: what became of a request. A team sees its own requests only. */
import type { Handler } from 'hono';
import { createRefusal } from '../../errors/index.js';
import { refuse } from '../admission.js';
import type { CallerEnvironment } from '../environment.js';
import type { CallerParts } from '../parts.js';

/**
 * Creates the handler.
 *
 * @param parts the node's memory of requests
 */
export function createRequestHandler(parts: CallerParts): Handler<CallerEnvironment> {
  return async (context) => {
    const requestId = context.req.param('id') ?? '';
    const fate =
      parts.requestStatuses.find(requestId) ?? (await parts.findRequestStatus(requestId));
    if (fate?.team === context.get('arrival').team.name) return context.json(fate);
    const failure = createRefusal({
      code: 'unknown-object',
      message: 'no request of your team is known by this id; fates are kept for a while only',
      step: 'request.resolve',
      peer: parts.node,
      field: 'id',
    });
    return refuse(parts, context, failure);
  };
}
