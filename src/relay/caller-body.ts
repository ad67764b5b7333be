/**
 * Reads the body of a caller's request into one block of memory, so that it never takes more than it was granted, in
 * however many pieces it comes.
 */
import type { IncomingMessage } from 'node:http';
import type { Share } from '../memory/index.js';

/** First block for a body of unknown length, in bytes. */
const FIRST_BLOCK_BYTES = 16_384;

/** How a body ended without being whole. */
export type BodyDefect = 'too-large' | 'no-memory' | 'broken';

/** The size of a body, as far as it is known before it comes, in bytes. */
export interface BodySize {
  /** What the caller declared; `undefined` if it declared none. */
  declaredBytes: number | undefined;
  maxBytes: number;
}

/** Terms of reading a body. */
export interface BodyTerms extends BodySize {
  /** Memory that is held for the body. */
  share: Share;
  /** Whether the body may grow by so many bytes. */
  mayGrow(bytes: number): boolean;
}

/** The length that a request declares; 0 if it has no body, `undefined` if its length is unknown. */
export function readDeclaredBytes({ headers }: IncomingMessage): number | undefined {
  if (headers['content-length'] !== undefined) return Number(headers['content-length']);
  return headers['transfer-encoding'] === undefined ? 0 : undefined;
}

/** Bytes that a body takes when it begins to come; none if it is too large to be read. */
export function resolveFirstBytes({ declaredBytes, maxBytes }: BodySize): number {
  const bytes = declaredBytes ?? FIRST_BLOCK_BYTES;
  return bytes > maxBytes && declaredBytes !== undefined ? 0 : bytes;
}

/** A body that is being read. */
export interface BodyRead {
  /** All of it; `undefined` if there is none. */
  bytes: Promise<Buffer | BodyDefect | undefined>;
  /** Keeps nothing of it; the rest is read past. */
  giveUp(): void;
}

/**
 * Reads the body.
 *
 * @param request the caller's request
 * @param terms what the body may take
 */
export function readCallerBody(request: IncomingMessage, terms: BodyTerms): BodyRead {
  const { declaredBytes, maxBytes, share } = terms;
  if (declaredBytes === 0) return readPast(request, undefined);
  if (declaredBytes !== undefined && declaredBytes > maxBytes) {
    return readPast(request, 'too-large');
  }
  let defect: BodyDefect | undefined;
  let block: Buffer | undefined;
  let size = 0;

  /** A block that also has room for more bytes. */
  function resolveBlock(bytes: number): Buffer | undefined {
    const capacity = block?.length ?? 0;
    if (block !== undefined && size + bytes <= capacity) return block;
    const first = resolveFirstBytes(terms);
    const next = Math.max(first, Math.min(maxBytes, 2 * capacity), size + bytes);
    // both blocks are held while one is copied to the other
    if (block !== undefined && !terms.mayGrow(next)) return undefined;
    share.set(next);
    const larger = Buffer.allocUnsafeSlow(next);
    block?.copy(larger, 0, 0, size);
    return larger;
  }

  function add(chunk: Buffer): BodyDefect | undefined {
    if (size + chunk.length > maxBytes) return 'too-large';
    // what comes at once is kept as it came
    const isWhole = size === 0 && chunk.length === declaredBytes;
    const target = isWhole ? chunk : resolveBlock(chunk.length);
    if (target === undefined) return 'no-memory';
    if (!isWhole) chunk.copy(target, size);
    block = target;
    size += chunk.length;
    return undefined;
  }

  function giveUp(reason: BodyDefect): BodyDefect {
    defect ??= reason;
    block = undefined;
    return defect;
  }

  const bytes = new Promise<Buffer | BodyDefect>((resolve) => {
    request.on('data', (chunk: Buffer) => {
      const reason = defect ?? add(chunk);
      if (reason !== undefined) resolve(giveUp(reason));
    });
    request.on('end', () => {
      resolve(defect ?? block?.subarray(0, size) ?? Buffer.alloc(0));
    });
    request.on('close', () => {
      resolve(giveUp('broken'));
    });
    request.on('error', () => {
      resolve(giveUp('broken'));
    });
  });
  return { bytes, giveUp: () => giveUp('broken') };
}

function readPast(request: IncomingMessage, outcome: 'too-large' | undefined): BodyRead {
  request.resume();
  return { bytes: Promise.resolve(outcome), giveUp: () => undefined };
}
