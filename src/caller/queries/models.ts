/** `GET /v1/models`: the models that the team can use with any of its classes. */
import type { Handler } from 'hono';
import { resolveRoute } from '../../configuration/index.js';
import type { CallerEnvironment } from '../environment.js';
import type { CallerParts } from '../parts.js';

/**
 * Creates the handler.
 *
 * @param parts the node's configuration
 */
export function createModelsHandler(parts: CallerParts): Handler<CallerEnvironment> {
  return (context) => {
    const team = context.get('arrival').team.name;
    const data = [];
    for (const id of listReachable(parts, team)) {
      data.push({ id, object: 'model', created: 0, owned_by: 'reedtally' });
    }
    return context.json({ object: 'list', data });
  };
}

function listReachable(parts: CallerParts, team: string): Set<string> {
  const snapshot = parts.replica.current();
  const reachable = new Set<string>();
  for (const group of snapshot.groups.values()) {
    const { model } = group;
    if (model === undefined || reachable.has(model)) continue;
    for (const className of snapshot.classes.keys()) {
      const query = { team, class: className, target: { model } };
      if (resolveRoute(snapshot, query, parts.node).isErr()) continue;
      reachable.add(model);
      break;
    }
  }
  return reachable;
}
