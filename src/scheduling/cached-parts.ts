/**
 * Port for listing what engines have cached.
 */
import type { Result } from 'ts-results-es';
import type { RegisteredServer } from '../fleet/index.js';

/** A prompt part in an engine's cache. */
export interface CachedPart {
  model: string;
  /** The id of the part in prompts that contain it. */
  id: string;
  tokens: number;
}

/** Lists the contents of engines' caches. */
export interface CacheInventory {
  /** Lists all cached parts of an engine; the call delays the engine slightly. */
  list(server: RegisteredServer): Promise<Result<readonly CachedPart[], string>>;
}
