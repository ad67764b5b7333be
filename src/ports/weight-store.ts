/**
 * The port to the rate-limited weight store, from which engines load models. Loads that the system
 * orders are paced by tickets.
 *
 * HTTP protocol: `POST /v1/tickets` with `{ model }` answers 200 with `{ ticket }` or 429 with
 * `{ retryAfterMs }`.
 */
import type { Result } from 'ts-results-es';
import type { Failure } from '../errors/index.js';

/** The platform's weight store. */
export interface WeightStore {
  /** Asks leave to load a model; a refusal says when to ask again. */
  requestTicket(model: string): Promise<Result<string, Failure>>;
}
