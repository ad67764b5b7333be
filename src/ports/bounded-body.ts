/**
 * Gathers the body of a message up to a size, so that a peer whose bytes never end takes no memory.
 */

/** A body as it arrives. */
export interface BoundedBody {
  /**
   * Adds a piece.
   *
   * @returns false if the body has become too large; the piece is not kept then
   */
  add(chunk: Buffer): boolean;
  /** All that was kept. */
  bytes(): Buffer;
}

/**
 * Creates an empty body.
 *
 * @param maxBytes its largest size
 */
export function createBoundedBody(maxBytes: number): BoundedBody {
  const chunks: Buffer[] = [];
  let size = 0;
  return {
    add(chunk) {
      size += chunk.length;
      if (size > maxBytes) return false;
      chunks.push(chunk);
      return true;
    },
    bytes: () => Buffer.concat(chunks),
  };
}
