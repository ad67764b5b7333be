/**
 * `GET /v1/objects/:kind` and `GET /v1/objects/:kind/:name`, from this node's copy.
 */
import type { Hono } from 'hono';
import { answerFailure, createUnknownObject } from '../answers.js';
import { createMalformed } from '../input.js';
import type { OperatorParts } from '../parts.js';
import { storedKindSchema, type ListedObjects } from '../status.js';
import { findObject, listObjects } from '../stored-objects.js';

const KIND_MESSAGE = `expected one of ${storedKindSchema.options.join(', ')}`;

/**
 * Adds the queries to the front.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addObjectQueries(app: Hono, parts: OperatorParts): void {
  app.get('/v1/objects/:kind', (context) => {
    const kind = storedKindSchema.safeParse(context.req.param('kind'));
    const node = parts.status().node.node;
    if (!kind.success) return answerFailure(context, createMalformed(node, 'kind', KIND_MESSAGE));
    const snapshot = parts.replica.current();
    const { version } = snapshot;
    const answer: ListedObjects = { version, objects: listObjects(snapshot, kind.data) };
    return context.json(answer);
  });
  app.get('/v1/objects/:kind/:name', (context) => {
    const kind = storedKindSchema.safeParse(context.req.param('kind'));
    const node = parts.status().node.node;
    if (!kind.success) return answerFailure(context, createMalformed(node, 'kind', KIND_MESSAGE));
    const reference = { kind: kind.data, name: context.req.param('name') };
    const found = findObject(parts.replica.current(), reference);
    if (found !== undefined) return context.json(found);
    const id = `${reference.kind}/${reference.name}`;
    return answerFailure(context, createUnknownObject(node, id));
  });
}
