/**
 * Holds bytes that come in pieces as one block, so that what they take does not grow with the number of the pieces.
 */

/** Capacity of the first block, in bytes. */
const FIRST_BLOCK_BYTES = 1_024;

/** Bytes that wait for what follows them. */
export interface ByteBuffer {
  /** Adds a piece: the first as it is, further ones as copies. */
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
  let block: Buffer = Buffer.alloc(0);
  let size = 0;

  function reserve(bytes: number): void {
    if (bytes <= block.length) return;
    const larger = Buffer.allocUnsafeSlow(Math.max(FIRST_BLOCK_BYTES, 2 * block.length, bytes));
    block.copy(larger, 0, 0, size);
    block = larger;
  }

  function bytes(): Buffer {
    return block.subarray(0, size);
  }

  return {
    append(piece) {
      if (size === 0) {
        block = piece;
        size = piece.length;
        return;
      }
      reserve(size + piece.length);
      piece.copy(block, size);
      size += piece.length;
    },
    size: () => size,
    bytes,
    take() {
      const taken = bytes();
      block = Buffer.alloc(0);
      size = 0;
      return taken;
    },
  };
}
