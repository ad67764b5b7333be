/**
 * The port to the platform's object store, which keeps answers too large for a table row.
 *
 * HTTP protocol: `PUT /v1/objects/{key}` with bytes answers 204; `GET /v1/objects/{key}` answers 200
 * with the bytes or 404; `DELETE /v1/objects/{key}` answers 204; 503 when the service declines.
 */
import type { Result } from 'ts-results-es';
import type { Failure } from '../errors/index.js';

/** The platform's object store. */
export interface ObjectStore {
  put(key: string, bytes: Uint8Array): Promise<Result<void, Failure>>;
  /** `undefined` when the key is absent. */
  get(key: string): Promise<Result<Uint8Array | undefined, Failure>>;
  delete(key: string): Promise<Result<void, Failure>>;
}
