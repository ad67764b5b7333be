/**
 * Finding a place for one attempt of a request. The usual way is to ask the holder of a shard for a
 * permit; a router that cannot reach a holder may place repeatable requests by itself.
 */
import type { Result } from 'ts-results-es';
import type { EngineGroup } from '../configuration/objects.js';
import type { Failure } from '../errors/index.js';
import type { Permit, PermitProgress, PermitRelease } from '../links/index.js';

/** What an attempt needs of a place. */
export interface PlacementRequest {
  requestId: string;
  attempt: number;
  groups: readonly EngineGroup[];
  team: string;
  weight: number;
  class: string;
  priority: number;
  /** When the first token is late, on this node's clock. */
  firstTokenBy: number;
  /** When the whole answer is late, on this node's clock. */
  deadlineAt: number;
  promptTokens: number;
  expectedOutputTokens: number;
  /** Most output tokens that may still come. */
  maxOutputTokens: number;
  /** Longest time between two tokens, in milliseconds. */
  betweenTokensMs: number;
  prefixes: readonly string[];
  model: string | undefined;
  adapter: string | undefined;
  repeatable: boolean;
  /** Servers that failed this request before. */
  avoid: readonly string[];
}

/** A place on a backend server. */
export interface Place {
  permitId: string;
  shard: string;
  server: string;
  address: string;
  waitedMs: number;
  /** The engine that is to read the prompt, when it is another. */
  prefill?: Permit['prefill'];
  /** The priority for the engine, where the holder gave one; lower is sooner. */
  enginePriority?: number | undefined;
}

/** How soon the first token came. */
export type PlaceProgress = Pick<PermitProgress, 'firstTokenMs' | 'prefillMs'>;

/** How the use of a place ended. */
export type PlaceEnd = Pick<
  PermitRelease,
  'result' | 'promptTokens' | 'cachedTokens' | 'outputTokens' | 'firstTokenMs' | 'totalMs'
>;

/** A way to find places. */
export interface Placement {
  /** Waits for a place; the failure of one that cannot be had is always `not-run`. */
  place(wish: PlacementRequest, signal: AbortSignal): Promise<Result<Place, Failure>>;
  /** Tells whoever keeps a tally that the first token came; absent where nobody keeps one. */
  progress?(place: Place, progress: PlaceProgress): void;
  release(wish: PlacementRequest, place: Place, end: PlaceEnd): void;
}
