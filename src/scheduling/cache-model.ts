/**
 * What an engine's KV cache probably holds, followed from the prompts that were sent to it. The
 * engine evicts what was used least recently; so does the model.
 */
import type { CachedPart } from './cached-parts.js';
import type { Prompt } from './prompt.js';

/** Share of the cache that parts may fill; running requests need the rest. */
const FILLED_SHARE = 0.9;

/** The cache of one engine, as a model. */
export interface CacheModel {
  /** Tokens of a prompt that the engine would have to read. */
  uncachedTokens(prompt: Prompt): number;
  /** A prompt was sent to the engine: its parts are now the most recently used. */
  recordUse(prompt: Prompt): void;
  /** Takes in what the engine says that it keeps, as used before everything that is known. */
  addReported(parts: readonly CachedPart[]): void;
}

/**
 * Creates an empty cache.
 *
 * @param capacityTokens tokens that the engine's cache holds
 */
export function createCacheModel(capacityTokens: number): CacheModel {
  // a map keeps the order of insertion, so the first part is the least recently used
  let held = new Map<string, number>();
  const capacity = capacityTokens * FILLED_SHARE;
  let heldTokens = 0;

  function touch(key: string, tokens: number): void {
    const known = held.get(key);
    if (known === undefined) heldTokens += tokens;
    else held.delete(key);
    held.set(key, tokens);
  }

  function evict(): void {
    for (const [key, tokens] of held) {
      if (heldTokens <= capacity) return;
      held.delete(key);
      heldTokens -= tokens;
    }
  }

  return {
    uncachedTokens(prompt) {
      let cached = 0;
      for (const part of prompt.parts) {
        if (!held.has(keyOf(prompt.model, part.id))) break;
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
      const newer = held;
      held = new Map();
      heldTokens = 0;
      for (const { model, id, tokens } of parts) {
        touch(keyOf(model, id), tokens);
      }
      for (const [key, tokens] of newer) {
        touch(key, tokens);
      }
      evict();
    },
  };
}

function keyOf(model: string, part: string): string {
  return `${model}/${part}`;
}
