/**
 * Routes as gateways pass them on: compressed, since a table of some thousand routes is hundreds of
 * kilobytes, and it goes to every gateway within seconds over links of a few Mbit/s; and with their
 * version, so that a gateway that has them already need not unpack them.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Err, Ok, type Result } from 'ts-results-es';
import * as z from 'zod';
import type { RoutingDocument } from '../routing/index.js';

/** Bytes of an unpacked document at most: far above the largest row that the store keeps. */
const MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;

export const routesMessageSchema = z.object({
  kind: z.literal('routes'),
  version: z.number(),
  /** The document's text, compressed. */
  packed: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

/** A version of the routes on its way to a peer. */
export type RoutesMessage = z.infer<typeof routesMessageSchema>;

/** Creates a packer, which keeps the newest version packed for the next peer. */
export function createRoutesPacker(): (document: RoutingDocument) => RoutesMessage {
  let newest: RoutesMessage | undefined;
  return ({ table: { version }, text }) => {
    if (newest?.version === version) return newest;
    newest = { kind: 'routes', version, packed: deflateRawSync(text) };
    return newest;
  };
}

/**
 * Unpacks the text of a document.
 *
 * @param message as a peer sent it
 * @returns why it cannot be unpacked, where it cannot
 */
export function unpackRoutes({ packed }: RoutesMessage): Result<string, string> {
  try {
    const bytes = inflateRawSync(packed, { maxOutputLength: MAX_DOCUMENT_BYTES });
    return Ok(bytes.toString('utf8'));
  } catch (error) {
    return Err(String(error));
  }
}
