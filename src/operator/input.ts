/**
 * Reads what operators send. A wrong body is refused with the path of the wrong field.
 */
import type { Context } from 'hono';
import { Err, Ok, type Result } from 'ts-results-es';
import type { z } from 'zod';
import { createRefusal, type Failure } from '../errors/index.js';

const AUTHOR_HEADER = 'reedtally-author';
const MAX_AUTHOR_LENGTH = 100;

/**
 * Reads a JSON body.
 *
 * @param context the request
 * @param schema what the body must fit
 * @param node name of this node, for the failure
 */
export async function readBody<Schema extends z.ZodType>(
  context: Context,
  schema: Schema,
  node: string,
): Promise<Result<z.output<Schema>, Failure>> {
  let document: unknown;
  try {
    document = await context.req.json();
  } catch {
    return Err(createMalformed(node, 'body', 'expected a JSON document'));
  }
  const parsed = schema.safeParse(document);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  const field = issue?.path.map(String).join('.') ?? '';
  return Err(createMalformed(node, field === '' ? 'body' : field, issue?.message ?? ''));
}

/**
 * Builds the refusal of a request that is wrong in itself.
 *
 * @param node name of this node
 * @param field path of the wrong field, header or parameter
 * @param message what was expected
 */
export function createMalformed(node: string, field: string, message: string): Failure {
  return createRefusal({
    code: 'malformed-request',
    message: `${field}: ${message}`,
    field,
    step: 'request.read',
    peer: node,
  });
}

/**
 * Tells who asks, as the header `Reedtally-Author` says; the token itself is shared.
 *
 * @param context the request
 */
export function readAuthor(context: Context): string {
  const author = context.req.header(AUTHOR_HEADER)?.trim() ?? '';
  return author === '' ? 'operator' : author.slice(0, MAX_AUTHOR_LENGTH);
}
