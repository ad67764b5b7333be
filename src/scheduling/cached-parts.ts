/**
 * The port to what engines say of their caches.
 */
import type { Result } from 'ts-results-es';
import type { RegisteredServer } from '../fleet/index.js';

/** A part of a prompt that an engine keeps. */
export interface CachedPart {
  model: string;
  /** The same as in the prompts that have this part. */
  id: string;
  tokens: number;
}

/** Asks engines for what they keep. */
export interface CacheInventory {
  /** Everything that an engine keeps; asking for it delays the engine a little. */
  list(server: RegisteredServer): Promise<Result<readonly CachedPart[], string>>;
}
