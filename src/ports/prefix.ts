/**
 * Hashes of prompt prefixes, by which engines name what their caches hold and routers look for the
 * engine that has read the most of a prompt. Both sides must make them alike.
 *
 * A token stands for one word between white space; only whole blocks of tokens are hashed, and each
 * hash covers everything before it.
 */
import { createHash } from 'node:crypto';

/** Tokens in one block. */
export const PREFIX_BLOCK_TOKENS = 64;

/** Most blocks of one prompt that are hashed. */
export const MAX_PREFIX_BLOCKS = 64;

/** Length of a hash, in characters. */
const HASH_LENGTH = 16;

const SPACE = 0x20;

/**
 * Names what a cached prefix belongs to besides its text: KV caches of two models or adapters have
 * nothing in common.
 *
 * @param model the model that read the prompt
 * @param adapter the adapter, if any
 */
export function resolvePrefixScope(model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}

/**
 * Hashes one block after what came before it.
 *
 * @param previous the hash of everything before the block; the scope for the first block
 * @param block the block's text
 */
export function hashPrefix(previous: string, block: string): string {
  const hash = createHash('sha1').update(previous).update('\n').update(block);
  return hash.digest('base64url').slice(0, HASH_LENGTH);
}

/**
 * Hashes the ever longer prefixes of a prompt, shortest first.
 *
 * @param prompt the prompt
 * @param scope as `resolvePrefixScope` makes it
 * @param blockTokens tokens in one block
 */
export function prefixHashes(
  prompt: string,
  scope: string,
  blockTokens: number = PREFIX_BLOCK_TOKENS,
): string[] {
  const hashes: string[] = [];
  let previous = scope;
  let blockStart = 0;
  let tokens = 0;
  for (let position = 0; position < prompt.length; position += 1) {
    if (!endsToken(prompt, position)) continue;
    tokens += 1;
    if (tokens % blockTokens !== 0) continue;
    previous = hashPrefix(previous, prompt.slice(blockStart, position + 1).trim());
    blockStart = position + 1;
    hashes.push(previous);
    if (hashes.length === MAX_PREFIX_BLOCKS) break;
  }
  return hashes;
}

/**
 * Counts a text's tokens.
 *
 * @param text any text
 */
export function countTokens(text: string): number {
  let tokens = 0;
  for (let position = 0; position < text.length; position += 1) {
    if (endsToken(text, position)) tokens += 1;
  }
  return tokens;
}

function endsToken(text: string, position: number): boolean {
  if (text.charCodeAt(position) <= SPACE) return false;
  return position + 1 === text.length || text.charCodeAt(position + 1) <= SPACE;
}
