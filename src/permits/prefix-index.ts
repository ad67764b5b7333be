/**
 * Which prompt prefixes a server is likely to have cached: those of the prompts that it read, most
 * recently used last, less what its cache events say was removed. Events come late and with gaps, so they only ever take away; what a lost event should have taken away is forgotten when
 * so many newer prefixes were read.
 */

const MAX_PREFIXES = 8_192;

/** The prefixes of one server. */
export interface PrefixIndex {
  /** Notes that a prompt with these prefixes, the shortest first, was read. */
  add(prefixes: readonly string[]): void;
  /** How many of the prefixes, counted from the shortest, are likely cached. */
  countCached(prefixes: readonly string[]): number;
  remove(prefixes: readonly string[]): void;
  clear(): void;
}

/** Creates an empty index. */
export function createPrefixIndex(): PrefixIndex {
  const known = new Set<string>();

  function touch(prefix: string): void {
    known.delete(prefix);
    known.add(prefix);
  }

  function evict(): void {
    for (const oldest of known) {
      if (known.size <= MAX_PREFIXES) return;
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
    clear() {
      known.clear();
    },
  };
}
