/** A hash of names that every process agrees on. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_SHIFT = 15;
const MIX_FACTOR = 0x2c1b3c6d;

/**
 * A well-spread 32-bit hash of a short name, the same in every process.
 *
 * @param name any string
 */
export function hashName(name: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < name.length; index++) {
    hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> MIX_SHIFT), MIX_FACTOR);
  return (hash ^ (hash >>> MIX_SHIFT)) >>> 0;
}
