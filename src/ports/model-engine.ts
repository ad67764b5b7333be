/**
 * The port to one model engine.
 *
 * HTTP protocol:
 * - `POST /v1/completions`, OpenAI-style, with a JSON body as in `engineRequestSchema` and
 *   `stream: true`; answers an SSE stream of `engineChunkSchema` events, ended by `data: [DONE]`.
 *   A stream that ends without it was cut. 503 with `engineRefusalSchema` when the engine provably
 *   started nothing (full, wrong role, model not loaded, leaving);
 * - `POST /v1/cancel` with `{ requestId }` answers 204;
 * - `GET /v1/load` answers `loadReportSchema`, with a lag;
 * - `GET /v1/cache-events?after=n` answers `{ events }`, late and with gaps;
 * - `POST /v1/orders` with `orderSchema` answers 200 with `orderReceiptSchema`, or 409 when the
 *   fencing number is older than one already seen (only engines that check it). An order is carried
 *   out when it is received; its effect takes seconds, during which `GET /v1/state` shows
 *   `busy: true`. Receiving the same order id again changes nothing;
 * - `GET /v1/state` answers `engineStateSchema`, without lag;
 * - `POST /v1/kv/export` with `{ requestId }` answers `kvHandleSchema`; `POST /v1/kv/import` with
 *   `kvHandleSchema` answers 204; `POST /v1/completions` then names the handle in `kvHandle`.
 */
import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../errors/index.js';

export const roleSchema = z.enum(['mixed', 'prefill', 'decode']);

/** What an engine spends its batches on. */
export type Role = z.infer<typeof roleSchema>;

export const engineRequestSchema = z.object({
  /** Returned on every chunk; a chunk with another id is not part of the answer. */
  requestId: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  prompt: z.string(),
  maxTokens: z.number().int().positive(),
  stream: z.literal(true),
  /** Lower is sooner. */
  priority: z.number().int().default(0),
  /** Number of tokens already delivered; the stream goes on after them. */
  resumeFrom: z.number().int().nonnegative().default(0),
  /** A KV cache imported before, so that the prompt need not be read again. */
  kvHandle: z.string().optional(),
  /** Read the prompt and keep its KV cache for an export, generate nothing. */
  prefillOnly: z.boolean().default(false),
});

/** A generation that a router asks of an engine. */
export type EngineRequest = z.infer<typeof engineRequestSchema>;

export const engineChunkSchema = z.object({
  requestId: z.string(),
  /** Position of the token in the whole answer, from 0. */
  index: z.number().int().nonnegative(),
  text: z.string(),
  /** Set on the last chunk. */
  finishReason: z.enum(['stop', 'length']).nullable(),
  /** Set on the last chunk: prompt tokens, and those of them found in the prefix cache. */
  usage: z
    .object({
      promptTokens: z.number().int(),
      cachedTokens: z.number().int(),
      completionTokens: z.number().int(),
    })
    .optional(),
});

/** One token of an engine's answer. */
export type EngineChunk = z.infer<typeof engineChunkSchema>;

export const engineRefusalSchema = z.object({
  reason: z.enum(['full', 'wrong-role', 'model-not-loaded', 'busy', 'leaving', 'unknown-handle']),
});

export const loadReportSchema = z.object({
  /** The engine's own counter; grows with each report. */
  sequence: z.number().int(),
  /** Age of the report when it was read, in milliseconds. */
  ageMs: z.number(),
  running: z.number().int(),
  waiting: z.number().int(),
  kvTokensUsed: z.number().int(),
  kvTokensTotal: z.number().int(),
});

/** An engine's load as it was a moment ago. */
export type LoadReport = z.infer<typeof loadReportSchema>;

export const cacheEventSchema = z.object({
  sequence: z.number().int(),
  kind: z.enum(['stored', 'removed', 'cleared']),
  /** Hashes of prompt prefixes, as `hashPrefix` makes them. */
  prefixes: z.array(z.string()),
});

/** A change of an engine's prefix cache. A gap in `sequence` means that events were lost. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

export const engineStateSchema = z.object({
  id: z.string(),
  /** Changes with every start of the engine's process. */
  incarnation: z.string(),
  role: roleSchema,
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  /** True while an order is taking effect; no requests are taken then. */
  busy: z.boolean(),
  /** True once the engine has said that it will leave. */
  leaving: z.boolean(),
  /** The last order received, if any. */
  lastOrderId: z.string().nullable(),
  /** The highest fencing number seen. */
  fence: z.number().int().nonnegative(),
  maxBatch: z.number().int().positive(),
  kvTokensTotal: z.number().int().positive(),
  prefillTokensPerSecond: z.number().positive(),
  /** Tokens a second of one request when `maxBatch` run. */
  decodeTokensPerSecond: z.number().positive(),
});

/** What an engine is, now. */
export type EngineState = z.infer<typeof engineStateSchema>;

export const orderSchema = z.object({
  orderId: z.string(),
  fence: z.number().int().positive(),
  /** The node that gives the order, for the record. */
  node: z.string(),
  wanted: z.object({
    role: roleSchema,
    models: z.array(z.string()),
    adapters: z.array(z.string()),
  }),
});

/** The state that an engine is ordered into. */
export type Order = z.infer<typeof orderSchema>;

export const orderReceiptSchema = z.object({ orderId: z.string(), accepted: z.literal(true) });

export const kvHandleSchema = z.object({ handle: z.string(), tokens: z.number().int() });

/** A KV cache on its way from one engine to another. */
export type KvHandle = z.infer<typeof kvHandleSchema>;

/** What became of an order that was sent. `unknown`: the answer was lost. */
export type OrderOutcome =
  | { kind: 'accepted' }
  | { kind: 'stale-fence' }
  | { kind: 'not-sent'; failure: Failure }
  | { kind: 'unknown'; failure: Failure };

/** A stream of chunks; ends with an error value when the stream was cut or refused. */
export type EngineStream = AsyncIterable<Result<EngineChunk, Failure>>;

/** One model engine, by address. */
export interface ModelEngine {
  readonly id: string;
  readonly address: string;
  /** Generates. Aborting the signal closes the stream and cancels on the engine. */
  generate(request: EngineRequest, signal: AbortSignal): EngineStream;
  cancel(requestId: string): Promise<Result<void, Failure>>;
  load(): Promise<Result<LoadReport, Failure>>;
  cacheEvents(after: number): Promise<Result<CacheEvent[], Failure>>;
  /** Gives an order; waits for its receipt no longer than `timeoutMs`, where given. */
  order(order: Order, timeoutMs?: number): Promise<OrderOutcome>;
  state(): Promise<Result<EngineState, Failure>>;
  exportKv(requestId: string): Promise<Result<KvHandle, Failure>>;
  importKv(handle: KvHandle): Promise<Result<void, Failure>>;
}
