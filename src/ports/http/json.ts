/**
 * JSON over HTTP, with the peer's word checked by a schema.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { z } from 'zod';
import type { HttpRequest } from './channel.js';

const JSON_HEADERS = { 'content-type': 'application/json' };

/**
 * Makes a POST request with a JSON body.
 *
 * @param path path and query
 * @param value what to send
 */
export function createJsonPost(path: string, value: unknown): HttpRequest {
  return { method: 'POST', path, headers: JSON_HEADERS, body: JSON.stringify(value) };
}

/**
 * Reads JSON by a schema.
 *
 * @param schema what is expected
 * @param text the text, or its bytes in UTF-8
 * @returns the value, or in words what is wrong with it
 */
export function parseJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string | Buffer,
): Result<z.infer<Schema>, string> {
  let value: unknown;
  try {
    value = JSON.parse(text.toString());
  } catch {
    return Err('the answer is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) return Err(`unexpected answer: ${parsed.error.message}`);
  return Ok(parsed.data);
}
