/**
 * The port to one worker of a plain service.
 *
 * HTTP protocol: any method and path below `/`, with the body as sent by the caller and the header
 * `x-request-id`, which the answer repeats; an answer with another id belongs to another request.
 * 503 with the header `x-not-started: true` says that the worker provably started nothing.
 * `GET /-/load` answers `loadReportSchema` and `GET /-/state` answers `serviceStateSchema`.
 */
import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../errors/index.js';
import type { LoadReport } from './model-engine.js';

export const serviceStateSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  leaving: z.boolean(),
  maxConcurrency: z.number().int().positive(),
});

/** What a plain service's worker is, now. */
export type ServiceState = z.infer<typeof serviceStateSchema>;

/** A call to a plain service. */
export interface ServiceCall {
  requestId: string;
  method: string;
  /** Path and query, starting with `/`. */
  path: string;
  contentType?: string;
  body?: Uint8Array;
}

/** A plain service's whole answer. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** One worker of a plain service, by address. */
export interface PlainService {
  readonly id: string;
  readonly address: string;
  /**
   * Calls once, without retries. The failure's outcome is `not-run` only when the connection was
   * never made or the worker said that it started nothing.
   */
  call(call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, Failure>>;
  load(): Promise<Result<LoadReport, Failure>>;
  state(): Promise<Result<ServiceState, Failure>>;
}
