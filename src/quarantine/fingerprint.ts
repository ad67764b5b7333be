/**
 * Fingerprint by which a repeated request is recognised: method, host, path with query, and body. The caller's request
 * id is left out because it differs with each attempt, and the ids of the prompt's parts because many requests share
 * them.
 */
import { createHash } from 'node:crypto';

/** Hexadecimal digits of the prefix. Requests with different prefixes are told apart without hashing their bodies. */
const PREFIX_DIGITS = 8;
/** Hexadecimal digits of the body's digest: 96 bits, so that no second body can be found for a given digest. */
const BODY_DIGITS = 24;

/** A request's content. */
export interface RequestContent {
  method: string;
  host: string;
  /** With the query. */
  path: string;
  body: Buffer | undefined;
}

/** Identifies a request by its content; each part is computed on first use. */
export interface Fingerprint {
  /** Digest of the method, host, path and body length. */
  prefix: () => string;
  /** The prefix, followed by a digest of the body. Hashes the whole body, about 2 µs per kilobyte. */
  full: () => string;
}

/**
 * Creates the fingerprint of a request.
 *
 * @param content the request as its caller sent it
 */
export function createFingerprint(content: RequestContent): Fingerprint {
  const { method, host, path, body } = content;
  let cachedPrefix: string | undefined;
  let cachedFull: string | undefined;

  function prefix(): string {
    const text = `${method}\n${host.toLowerCase()}\n${path}\n${body?.length ?? 0}`;
    cachedPrefix ??= digest(text, PREFIX_DIGITS);
    return cachedPrefix;
  }

  function full(): string {
    cachedFull ??= prefix() + digest(body ?? '', BODY_DIGITS);
    return cachedFull;
  }

  return { prefix, full };
}

/**
 * Returns the prefix of a full fingerprint.
 *
 * @param fingerprint as returned by `Fingerprint.full`
 */
export function resolvePrefix(fingerprint: string): string {
  return fingerprint.slice(0, PREFIX_DIGITS);
}

function digest(content: string | Buffer, digits: number): string {
  return createHash('sha256').update(content).digest('hex').slice(0, digits);
}
