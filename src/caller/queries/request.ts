/** `GET /v1/requests/{id}`: the status of a request. A team sees only its own requests. */
import type { Handler } from 'hono';
import { createRefusal } from '../../errors/index.js';
import { refuse } from '../admission.js';
import type { CallerEnvironment } from '../environment.js';
import type { CallerParts } from '../parts.js';

/**
 * Creates the handler.
 *
 * @param parts the node's request statuses
 */
export function createRequestHandler(parts: CallerParts): Handler<CallerEnvironment> {
  return async (context) => {
    const requestId = context.req.param('id') ?? '';
    const status =
      parts.requestStatuses.find(requestId) ?? (await parts.findRequestStatus(requestId));
    if (status?.team === context.get('arrival').team.name) return context.json(status);
    const failure = createRefusal({
      code: 'unknown-object',
      message: 'your team has no request with this id, or its status is no longer kept',
      step: 'request.resolve',
      peer: parts.node,
      field: 'id',
    });
    return refuse(parts, context, failure);
  };
}
