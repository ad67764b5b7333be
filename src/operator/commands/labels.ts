/**
 * `POST /v1/labels/:kind/:name`: sets and removes labels of an object or a VM.
 */
import type { Hono } from 'hono';
import type { StoredObject } from '../../configuration/index.js';
import { answerFailure, answerResult, createUnknownObject } from '../answers.js';
import { createMalformed, readAuthor, readBody } from '../input.js';
import type { OperatorParts } from '../parts.js';
import { labelsRequestSchema, storedKindSchema, type LabelsRequest } from '../status.js';
import { findObject } from '../stored-objects.js';
import { createVmLabels } from './vm-labels.js';

/**
 * Adds the command to the front. The change is refused as a conflict when the object was changed
 * after this node's copy of it.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addLabelsCommand(app: Hono, parts: OperatorParts): void {
  app.post('/v1/labels/:kind/:name', async (context) => {
    const node = parts.status().node.node;
    const body = await readBody(context, labelsRequestSchema, node);
    if (body.isErr()) return answerFailure(context, body.error);
    const kind = storedKindSchema.safeParse(context.req.param('kind'));
    if (!kind.success) return answerFailure(context, createMalformed(node, 'kind', 'unknown'));
    const reference = { kind: kind.data, name: context.req.param('name') };
    const found = findObject(parts.replica.current(), reference);
    const object = found?.object ?? createAbsent(reference);
    if (object === undefined) {
      const id = `${reference.kind}/${reference.name}`;
      return answerFailure(context, createUnknownObject(node, id));
    }
    const result = await parts.writer.write({
      objects: [changeLabels(object, body.value)],
      removals: [],
      author: readAuthor(context),
      force: body.value.force,
      expected: [{ ...reference, version: found?.version ?? 0 }],
    });
    return answerResult(context, result);
  });
}

/** A VM has no stored object until an operator says something of it. */
function createAbsent(reference: { kind: string; name: string }): StoredObject | undefined {
  return reference.kind === 'vm' ? createVmLabels(reference.name) : undefined;
}

function changeLabels(object: StoredObject, { set, remove }: LabelsRequest): StoredObject {
  const labels = { ...object.labels, ...set };
  const kept = Object.entries(labels).filter(([key]) => !remove.includes(key));
  return { ...object, labels: Object.fromEntries(kept) };
}
