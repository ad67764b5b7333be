/**
 * `POST /v1/changes`: writes objects as one transaction.
 */
import type { Hono } from 'hono';
import { answerFailure, answerResult } from '../answers.js';
import { readAuthor, readBody } from '../input.js';
import type { OperatorParts } from '../parts.js';
import { changesRequestSchema } from '../status.js';

/**
 * Adds the command to the front.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addChangesCommand(app: Hono, parts: OperatorParts): void {
  app.post('/v1/changes', async (context) => {
    const body = await readBody(context, changesRequestSchema, parts.status().node.node);
    if (body.isErr()) return answerFailure(context, body.error);
    const author = readAuthor(context);
    return answerResult(context, await parts.writer.write({ ...body.value, author }));
  });
}
