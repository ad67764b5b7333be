/**
 * Keys of parts of prompts in the crash records, beside the fingerprints of whole requests. Requests that share a part
 * have its key in common, whatever else they hold.
 */
import { createHash } from 'node:crypto';

const PREFIX = 'part:';
/** Ids that are kept readable for operators; others are hashed, which also bounds their length. */
const READABLE_ID = /^[\w.-]{1,48}$/;
const DIGEST_DIGITS = 32;

/**
 * Returns the key of a part.
 *
 * @param service the service whose engines write on the part
 * @param id the part's id, as callers send it
 */
export function createPartKey(service: string, id: string): string {
  return `${PREFIX}${toReadable(service)}:${toReadable(id)}`;
}

/** Whether a key of a crash record is that of a part. */
export function isPartKey(key: string): boolean {
  return key.startsWith(PREFIX);
}

function toReadable(text: string): string {
  if (READABLE_ID.test(text)) return text;
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_DIGITS);
}
