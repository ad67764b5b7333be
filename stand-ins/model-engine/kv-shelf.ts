/**
 * KV caches that belong to no running request: read for an export, or imported and not yet used.
 */
import type { Clock, Timer } from '../../src/task/index.js';

/** KV caches by name, each let go after a while. */
export interface KvShelf {
  put(name: string, tokens: number): void;
  /** Takes a cache off the shelf; `undefined` when there is none of that name. */
  take(name: string): number | undefined;
  has(name: string): boolean;
  /** Tokens on the shelf. */
  tokens(): number;
  clear(): void;
}

interface KeptKv {
  tokens: number;
  expiry: Timer;
}

/**
 * Creates an empty shelf.
 *
 * @param clock what the time limit goes by
 * @param keptMs how long a cache is kept
 */
export function createKvShelf(clock: Clock, keptMs: number): KvShelf {
  const caches = new Map<string, KeptKv>();
  let tokens = 0;

  function take(name: string): number | undefined {
    const kept = caches.get(name);
    if (kept === undefined) return undefined;
    kept.expiry.cancel();
    caches.delete(name);
    tokens -= kept.tokens;
    return kept.tokens;
  }

  return {
    put(name, size) {
      take(name);
      const expiry = clock.after(keptMs, () => void take(name));
      caches.set(name, { tokens: size, expiry });
      tokens += size;
    },
    take,
    has: (name) => caches.has(name),
    tokens: () => tokens,
    clear() {
      for (const name of caches.keys()) take(name);
    },
  };
}
