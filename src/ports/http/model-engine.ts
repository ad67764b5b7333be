/**
 * A model engine over HTTP. The protocol is described at the port. Chunks are handed on as they
 * come, whatever request id they carry: telling them apart is the reader's task.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import * as z from 'zod';
import {
  createUnknownOutcome,
  createRefusal,
  type Failure,
  type Step,
} from '../../errors/index.js';
import { createSystemClock, type Clock } from '../../task/index.js';
import {
  cacheEventSchema,
  engineStateSchema,
  kvHandleSchema,
  loadReportSchema,
  orderReceiptSchema,
  type EngineChunk,
  type EngineRequest,
  type ModelEngine,
  type Order,
  type OrderOutcome,
} from '../model-engine.js';
import { createListSchema } from '../list-schema.js';
import { createHttpChannel, type HttpAnswer, type HttpRequest, type Loss } from './channel.js';
import { openChunkSource } from './engine-stream.js';
import { createJsonPost, parseJson } from './json.js';

/** What the adapter is made of. */
export interface HttpModelEngineTerms {
  id: string;
  /** `host:port`, by IP number. */
  address: string;
  /** Longest time for anything but a stream or a KV transfer, in milliseconds. */
  timeoutMs?: number;
  /** Longest time for a KV export or import, in milliseconds. */
  kvTimeoutMs?: number;
  clock?: Clock;
}

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_KV_TIMEOUT_MS = 10_000;

const cacheEventsSchema = z.object({ events: createListSchema(cacheEventSchema) });

/**
 * Creates a model engine that is reached over HTTP. Streams have no time limit of their own.
 *
 * @param terms name, address and time limits
 */
export function createHttpModelEngine(terms: HttpModelEngineTerms): ModelEngine {
  const { id, address, clock = createSystemClock() } = terms;
  const timeoutMs = terms.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const kvTimeoutMs = terms.kvTimeoutMs ?? DEFAULT_KV_TIMEOUT_MS;
  const peer = `${id}@${address}`;
  const origin = `http://${address}`;
  /** For whatever has an effect or decides something: refusals, receipts and handles bear no request's id. */
  const separate = createHttpChannel({ origin, separate: true });
  /** For reports, which are late in any case and bear a number of their own. */
  const kept = createHttpChannel({ origin });

  async function ask(
    request: HttpRequest,
    step: Step,
    patienceMs: number = timeoutMs,
    channel = separate,
  ): Promise<Result<HttpAnswer, Failure>> {
    const asked = await channel.ask(request, { clock, timeoutMs: patienceMs });
    if (asked.isErr()) return Err(describeLoss(peer, step, asked.error));
    const answer = asked.value;
    if (answer.status === 200 || answer.status === 204) return Ok(answer);
    return Err(describeFailed(peer, step, `answered status ${answer.status}`));
  }

  async function query<Schema extends z.ZodType>(
    request: HttpRequest,
    schema: Schema,
    step: Step,
    patienceMs: number = timeoutMs,
    channel = separate,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    const answer = await ask(request, step, patienceMs, channel);
    if (answer.isErr()) return answer;
    return parseJson(schema, answer.value.body).mapErr((message) =>
      describeFailed(peer, step, message),
    );
  }

  function report<Schema extends z.ZodType>(
    request: HttpRequest,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    return query(request, schema, 'engine.connect', timeoutMs, kept);
  }

  async function cancel(requestId: string): Promise<Result<void, Failure>> {
    const answer = await ask(createJsonPost('/v1/cancel', { requestId }), 'engine.stream');
    return answer.map(() => undefined);
  }

  async function* generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Result<EngineChunk, Failure>, void, undefined> {
    if (signal.aborted) {
      yield Err(describeCancelled(peer));
      return;
    }
    const source = openChunkSource(separate, peer, createJsonPost('/v1/completions', request));
    signal.addEventListener('abort', source.abort);
    try {
      for (;;) {
        const next = await source.next();
        if (next === undefined) return;
        yield next;
        if (next.isErr()) return;
      }
    } finally {
      signal.removeEventListener('abort', source.abort);
      source.abort();
      if (source.isAbandoned()) void cancel(request.requestId);
    }
  }

  return {
    id,
    address,
    generate,
    cancel,
    load: () => report({ method: 'GET', path: '/v1/load' }, loadReportSchema),
    async cacheEvents(after) {
      const request = { method: 'GET', path: `/v1/cache-events?after=${after}` };
      const answer = await report(request, cacheEventsSchema);
      return answer.map((body) => body.events);
    },
    async order(order, patienceMs = timeoutMs) {
      const patience = { clock, timeoutMs: patienceMs };
      const asked = await separate.ask(createJsonPost('/v1/orders', order), patience);
      if (asked.isOk()) return resolveOrderOutcome(peer, order, asked.value);
      const failure = describeLoss(peer, 'order.send', asked.error);
      return { kind: asked.error.sent ? 'unknown' : 'not-sent', failure };
    },
    state: () => query({ method: 'GET', path: '/v1/state' }, engineStateSchema, 'engine.connect'),
    exportKv(requestId) {
      const request = createJsonPost('/v1/kv/export', { requestId });
      return query(request, kvHandleSchema, 'engine.handover', kvTimeoutMs);
    },
    async importKv(handle) {
      const request = createJsonPost('/v1/kv/import', handle);
      const answer = await ask(request, 'engine.handover', kvTimeoutMs);
      return answer.map(() => undefined);
    },
  };
}

/** Anything but the two answers of the protocol leaves open whether the order was taken. */
function resolveOrderOutcome(peer: string, order: Order, answer: HttpAnswer): OrderOutcome {
  if (answer.status === 409) return { kind: 'stale-fence' };
  if (answer.status !== 200) {
    const failure = describeFailed(peer, 'order.send', `answered status ${answer.status}`);
    return { kind: 'unknown', failure };
  }
  const receipt = parseJson(orderReceiptSchema, answer.body);
  if (receipt.isOk() && receipt.value.orderId === order.orderId) return { kind: 'accepted' };
  const failure = describeFailed(peer, 'order.send', 'the receipt is not for this order');
  return { kind: 'unknown', failure };
}

function describeLoss(peer: string, step: Step, loss: Loss): Failure {
  const detail = { code: 'backend-server-unreachable', message: loss.reason, step, peer } as const;
  return loss.sent ? createUnknownOutcome(detail) : createRefusal(detail);
}

function describeFailed(peer: string, step: Step, message: string): Failure {
  return createUnknownOutcome({ code: 'backend-server-failed', message, step, peer });
}

function describeCancelled(peer: string): Failure {
  const message = 'cancelled before anything was sent';
  return createRefusal({ code: 'cancelled', message, step: 'engine.connect', peer });
}
