/**
 * The prefix cache of an engine: blocks of prompts that were read, the least recently used of which
 * is let go when there is no room.
 */

/** Cached blocks, by the hash of the prefix that they end. */
export interface PrefixCache {
  /** How many blocks from a prompt's start are cached; they count as used. */
  match(prefixes: readonly string[]): number;
  /** Keeps the blocks of a prompt that was read. */
  store(prefixes: readonly string[]): void;
  clear(): void;
}

/** What the cache is made of. */
export interface PrefixCacheTerms {
  maxBlocks: number;
  onStored(prefixes: string[]): void;
  onRemoved(prefixes: string[]): void;
}

/** Creates an empty cache. */
export function createPrefixCache(terms: PrefixCacheTerms): PrefixCache {
  // A set keeps the order of insertion, so its first entry is the one unused for longest
  const blocks = new Set<string>();

  function use(prefix: string): boolean {
    const known = blocks.delete(prefix);
    blocks.add(prefix);
    return known;
  }

  function evict(): string[] {
    const removed: string[] = [];
    for (const prefix of blocks) {
      if (blocks.size <= terms.maxBlocks) break;
      blocks.delete(prefix);
      removed.push(prefix);
    }
    return removed;
  }

  return {
    match(prefixes) {
      let matched = 0;
      for (const prefix of prefixes) {
        if (!blocks.has(prefix)) break;
        matched += 1;
      }
      // Later blocks are of no use without earlier ones, so those are touched last
      for (let at = matched - 1; at >= 0; at -= 1) use(prefixes[at] ?? '');
      return matched;
    },
    store(prefixes) {
      const stored: string[] = [];
      for (const prefix of [...prefixes].reverse()) {
        if (!use(prefix)) stored.unshift(prefix);
      }
      const removed = evict();
      if (stored.length > 0) terms.onStored(stored);
      if (removed.length > 0) terms.onRemoved(removed);
    },
    clear() {
      blocks.clear();
    },
  };
}
