/**
 * The message with which gateways relay routes. The document is compressed, since a table of a few thousand
 * routes takes hundreds of kilobytes; the version lets a receiver skip a document that it already has.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Err, Ok, type Result } from 'ts-results-es';
import * as z from 'zod';
import type { RoutingDocument } from '../routing/index.js';

/** Maximum size of a decompressed document, in bytes. Must exceed the largest row of the store. */
const MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;

export const routesMessageSchema = z.object({
  kind: z.literal('routes'),
  version: z.number(),
  /** The document's text, raw deflate. */
  packed: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

/** One version of the routes, compressed for peers. */
export type RoutesMessage = z.infer<typeof routesMessageSchema>;

/** Creates a packer that caches the newest message, so that each version is compressed once. */
export function createRoutesPacker(): (document: RoutingDocument) => RoutesMessage {
  let newest: RoutesMessage | undefined;
  return ({ table: { version }, text }) => {
    if (newest?.version === version) return newest;
    newest = { kind: 'routes', version, packed: deflateRawSync(text) };
    return newest;
  };
}

/**
 * Decompresses the text of a document.
 *
 * @param message as received from a peer
 * @returns the text, or the error of the decompression
 */
export function unpackRoutes({ packed }: RoutesMessage): Result<string, string> {
  try {
    const bytes = inflateRawSync(packed, { maxOutputLength: MAX_DOCUMENT_BYTES });
    return Ok(bytes.toString('utf8'));
  } catch (error) {
    return Err(String(error));
  }
}
