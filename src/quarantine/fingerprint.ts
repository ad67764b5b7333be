/**
 * What stays the same of a request each time that it comes: its method, host, path with the query, and body. The
 * caller's id differs with each attempt, and the parts of a prompt are shared by many requests, so neither counts.
 */
import { createHash } from 'node:crypto';

/** Hexadecimal digits of an outline: two requests of different outline need no look at their bodies. */
const OUTLINE_DIGITS = 8;
/** Hexadecimal digits of a body's digest: 96 bits, so that nobody finds a second body for another's request. */
const BODY_DIGITS = 24;

/** A request's content. */
export interface RequestContent {
  method: string;
  host: string;
  /** With the query. */
  path: string;
  body: Buffer | undefined;
}

/** Names a request by its content; each part is worked out when it is first asked for. */
export interface Fingerprint {
  /** Everything but the bytes of the body. */
  prefix: () => string;
  /** The outline, and a digest of the body: some 2 µs for each kilobyte of it. */
  full: () => string;
}

/**
 * Creates the fingerprint of a request.
 *
 * @param content the request as its caller sent it
 */
export function createFingerprint(content: RequestContent): Fingerprint {
  const { method, host, path, body } = content;
  let outlined: string | undefined;
  let digested: string | undefined;

  function outline(): string {
    const text = `${method}\n${host.toLowerCase()}\n${path}\n${body?.length ?? 0}`;
    outlined ??= digest(text, OUTLINE_DIGITS);
    return outlined;
  }

  function whole(): string {
    digested ??= outline() + digest(body ?? '', BODY_DIGITS);
    return digested;
  }

  return { prefix: outline, full: whole };
}

/**
 * The outline within a whole fingerprint.
 *
 * @param fingerprint as `whole` gives it
 */
export function resolvePrefix(fingerprint: string): string {
  return fingerprint.slice(0, OUTLINE_DIGITS);
}

function digest(content: string | Buffer, digits: number): string {
  return createHash('sha256').update(content).digest('hex').slice(0, digits);
}
