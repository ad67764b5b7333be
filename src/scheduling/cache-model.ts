/**
 * Model of an engine's KV cache, derived from the prompts that were sent to it. Like the engine, it
 * evicts the least recently used parts.
 */
import type { CachedPart } from './cached-parts.js';
import type { Prompt } from './prompt.js';

/** Share of the cache that is available for prompt parts; running requests use the rest. */
const USABLE_SHARE = 0.9;

/** Model of one engine's cache. */
export interface CacheModel {
  /** Tokens of a prompt that the engine would have to prefill. */
  uncachedTokens(prompt: Prompt): number;
  /** Marks the parts of a prompt that was sent to the engine as most recently used. */
  recordUse(prompt: Prompt): void;
  /** Adds parts that the engine reported, as less recently used than all parts known so far. */
  addReported(parts: readonly CachedPart[]): void;
}

/**
 * Creates the model of an empty cache.
 *
 * @param capacityTokens capacity of the engine's cache in tokens
 */
export function createCacheModel(capacityTokens: number): CacheModel {
  // a map keeps insertion order, so the first entry is the least recently used
  let tokensByKey = new Map<string, number>();
  const usableTokens = capacityTokens * USABLE_SHARE;
  let totalTokens = 0;

  /** Makes a part the most recently used one. */
  function touch(key: string, tokens: number): void {
    const known = tokensByKey.get(key);
    if (known === undefined) totalTokens += tokens;
    else tokensByKey.delete(key);
    tokensByKey.set(key, tokens);
  }

  function evict(): void {
    for (const [key, tokens] of tokensByKey) {
      if (totalTokens <= usableTokens) return;
      tokensByKey.delete(key);
      totalTokens -= tokens;
    }
  }

  return {
    uncachedTokens(prompt) {
      let cached = 0;
      for (const part of prompt.parts) {
        if (!tokensByKey.has(keyOf(prompt.model, part.id))) break;
        cached += part.tokens;
      }
      return Math.max(0, prompt.tokens - cached);
    },
    recordUse(prompt) {
      for (const part of prompt.parts) {
        touch(keyOf(prompt.model, part.id), part.tokens);
      }
      evict();
    },
    addReported(parts) {
      const newer = tokensByKey;
      tokensByKey = new Map();
      totalTokens = 0;
      for (const { model, id, tokens } of parts) {
        touch(keyOf(model, id), tokens);
      }
      // the parts known before are inserted last, so that they are evicted last
      for (const [key, tokens] of newer) {
        touch(key, tokens);
      }
      evict();
    },
  };
}

function keyOf(model: string, partId: string): string {
  return `${model}/${partId}`;
}
