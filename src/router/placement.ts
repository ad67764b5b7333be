/**
 * Placement of one attempt of a request on a backend server. Usually the holder of a shard grants a
 * permit; a router that cannot reach a holder may place repeatable requests by itself.
 */
import type { Result } from 'ts-results-es';
import type { EngineGroup } from '../configuration/objects.js';
import type { Failure } from '../errors/index.js';
import type { Permit, PermitProgress, PermitRelease } from '../links/index.js';

/** One attempt that needs a place. */
export interface PlacementRequest {
  requestId: string;
  attempt: number;
  groups: readonly EngineGroup[];
  team: string;
  weight: number;
  class: string;
  priority: number;
  /** Deadline of the first token, on this node's clock. */
  firstTokenBy: number;
  /** Deadline of the whole answer, on this node's clock. */
  deadlineAt: number;
  promptTokens: number;
  expectedOutputTokens: number;
  /** Upper bound of the output tokens still to come. */
  maxOutputTokens: number;
  /** Objective for the inter-token latency, in milliseconds. */
  betweenTokensMs: number;
  prefixes: readonly string[];
  model: string | undefined;
  adapter: string | undefined;
  repeatable: boolean;
  /** Servers to exclude because they failed this request before. */
  avoid: readonly string[];
}

/** A slot for one request on a backend server. */
export interface Place {
  permitId: string;
  shard: string;
  server: string;
  address: string;
  waitedMs: number;
  /** The engine for prefill, when it is not `server`. */
  prefill?: Permit['prefill'];
  /** Priority in the engine's queue, when the holder set one; lower is sooner. */
  enginePriority?: number | undefined;
}

/** Time to first token and, with a separate prefill engine, the time of prefill. */
export type PlaceProgress = Pick<PermitProgress, 'firstTokenMs' | 'prefillMs'>;

/** Result and usage of an attempt whose place is released. */
export type PlaceEnd = Pick<
  PermitRelease,
  'result' | 'promptTokens' | 'cachedTokens' | 'outputTokens' | 'firstTokenMs' | 'totalMs'
>;

export interface Placement {
  /** Waits for a place; the outcome of a failure is always `not-run`. */
  place(request: PlacementRequest, signal: AbortSignal): Promise<Result<Place, Failure>>;
  /** Reports the first token to the holder that granted the place; absent without holders. */
  progress?(place: Place, progress: PlaceProgress): void;
  release(request: PlacementRequest, place: Place, end: PlaceEnd): void;
}
