/**
 * Holds bytes that come in pieces, so that what they take does not grow with the number of the pieces: small ones are
 * copied into blocks, large ones are kept as they came.
 */

/** Size from which a piece is kept as it came, in bytes: much of what was read with it, so it holds little else. */
const LARGE_PIECE_BYTES = 16 * 1024;
/** Capacity of the first block, in bytes; each further one has twice that of the one before, up to the largest. */
const FIRST_BLOCK_BYTES = 1_024;
/** Largest capacity of a block, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1024;

/** Bytes that wait for what follows them. */
export interface ByteBuffer {
  /** Adds a piece. */
  append(piece: Buffer): void;
  /** Number of bytes held. */
  size(): number;
  /** All bytes. */
  bytes: () => Buffer;
  /** Gives all bytes, and holds none afterwards. */
  take(): Buffer;
}

/** Creates an empty buffer. */
export function createByteBuffer(): ByteBuffer {
  let kept: Buffer[] = [];
  /** The block that is being filled, and how far it is. */
  let block: Buffer = Buffer.alloc(0);
  let used = 0;
  let size = 0;

  /** Keeps what is in the block; its rest is used no more. */
  function seal(): void {
    if (used > 0) kept.push(block.subarray(0, used));
    block = block.subarray(used);
    used = 0;
  }

  function copy(piece: Buffer): void {
    if (used + piece.length > block.length) {
      const capacity = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, size));
      seal();
      block = Buffer.allocUnsafeSlow(Math.max(capacity, piece.length));
    }
    piece.copy(block, used);
    used += piece.length;
  }

  function bytes(): Buffer {
    const last = block.subarray(0, used);
    const [only] = kept;
    if (only === undefined) return last;
    return kept.length === 1 && used === 0 ? only : Buffer.concat([...kept, last]);
  }

  return {
    append(piece) {
      // one that comes alone needs no copy
      if (size === 0 || piece.length >= LARGE_PIECE_BYTES) {
        seal();
        kept.push(piece);
      } else copy(piece);
      size += piece.length;
    },
    size: () => size,
    bytes,
    take() {
      const taken = bytes();
      kept = [];
      block = Buffer.alloc(0);
      used = 0;
      size = 0;
      return taken;
    },
  };
}
