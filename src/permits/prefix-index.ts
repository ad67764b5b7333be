/**
 * An LRU set of the prompt prefixes that a server probably has cached: those of prompts that it
 * prefilled, less those that its cache events report as removed. Events arrive late and with gaps,
 * so they only remove entries; entries whose event was lost are evicted in LRU order.
 */

const MAX_PREFIXES = 8_192;

/** The prefixes of one server. */
export interface PrefixIndex {
  /** Adds the prefixes of a prompt, the shortest first. */
  add(prefixes: readonly string[]): void;
  /** Number of consecutive prefixes, from the shortest on, that are in the index. */
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
      // The longest prefix is added first, so that it is evicted first.
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
