/**
 * Gathers the body of a message up to a size, so that a peer whose bytes never end takes no memory.
 */
import { createByteBuffer } from './byte-buffer.js';

/** A body as it arrives. */
export interface BoundedBody {
  /**
   * Adds a piece.
   *
   * @returns false if the body has become too large; the piece is not kept then
   */
  add(chunk: Buffer): boolean;
  /** All that was kept. */
  bytes: () => Buffer;
}

/**
 * Creates an empty body.
 *
 * @param maxBytes its largest size
 */
export function createBoundedBody(maxBytes: number): BoundedBody {
  const kept = createByteBuffer();
  let size = 0;
  return {
    add(chunk) {
      size += chunk.length;
      if (size > maxBytes) return false;
      kept.append(chunk);
      return true;
    },
    bytes: kept.bytes,
  };
}
