/**
 * Which prompt prefixes a server is likely to have cached: those of the prompts that were sent to
 * it, most recently used last, less what its cache events say was removed. Events come late and
 * with gaps, so they only ever take away. What answers say of cached tokens corrects the size that
 * the server's cache is taken to have.
 */

const MAX_PREFIXES = 8_192;
const MIN_PREFIXES = 128;
/** What is left of the assumed size when less was cached than expected. */
const SHRINK = 0.9;
/** What is added to the assumed size, in prefixes, when all was cached as expected. */
const GROWTH = 8;

/** The prefixes of one server. */
export interface PrefixIndex {
  /** Notes that a prompt with these prefixes, the shortest first, was sent. */
  add(prefixes: readonly string[]): void;
  /** How many of the prefixes, counted from the shortest, are likely cached. */
  countCached(prefixes: readonly string[]): number;
  remove(prefixes: readonly string[]): void;
  /** So many prefixes were expected in the cache, and so many were found there. */
  correct(expected: number, found: number): void;
  clear(): void;
}

/** Creates an empty index. */
export function createPrefixIndex(): PrefixIndex {
  const known = new Set<string>();
  let capacity = MAX_PREFIXES;

  function touch(prefix: string): void {
    known.delete(prefix);
    known.add(prefix);
  }

  function evict(): void {
    for (const oldest of known) {
      if (known.size <= capacity) return;
      known.delete(oldest);
    }
  }

  return {
    add(prefixes) {
      // The longest goes first, so that it is also the first to be forgotten.
      for (let index = prefixes.length - 1; index >= 0; index--) {
        const prefix = prefixes[index];
        if (prefix !== undefined) touch(prefix);
      }
      evict();
    },
    countCached(prefixes) {
      let count = 0;
      for (const prefix of prefixes) {
        if (!known.has(prefix)) break;
        count += 1;
      }
      return count;
    },
    remove(prefixes) {
      for (const prefix of prefixes) {
        known.delete(prefix);
      }
    },
    correct(expected, found) {
      if (found < expected) {
        capacity = Math.max(MIN_PREFIXES, Math.floor(Math.min(capacity, known.size) * SHRINK));
        evict();
      } else if (expected > 0) {
        capacity = Math.min(MAX_PREFIXES, capacity + GROWTH);
      }
    },
    clear() {
      known.clear();
      capacity = MAX_PREFIXES;
    },
  };
}
