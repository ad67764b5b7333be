/**
 * An engine behind its HTTP protocol, with faults. `POST /-/leave` makes it take no new requests.
 */
import { z } from 'zod';
import {
  engineRequestSchema,
  kvHandleSchema,
  orderSchema,
  type EngineRequest,
} from '../../src/ports/index.js';
import { createSystemClock, wait, type Clock } from '../../src/task/index.js';
import {
  createHistory,
  createOwnClock,
  createJsonReply,
  findFault,
  parseBody,
  startServer,
  type Received,
  type Reply,
  type StandIn,
} from '../common/index.js';
import { createEngine, type EngineEntry } from './engine.js';
import type { Sink } from './generation.js';
import {
  modelEngineFaultSchema,
  modelEngineStandInSettingsSchema,
  type ModelEngineFault,
  type ModelEngineStandInSettings,
} from './settings.js';
import { createStream } from './stream.js';

/** A running engine. */
export interface ModelEngineStandIn extends StandIn<ModelEngineFault, EngineEntry> {
  readonly id: string;
  /** Takes no new requests from now on. */
  leave(): void;
}

const requestIdSchema = z.object({ requestId: z.string() });
const KILO = 1_000;

/**
 * Starts an engine.
 *
 * @param input settings; all have defaults
 * @param time what its work goes by
 */
export async function createModelEngineStandIn(
  input: ModelEngineStandInSettings = {},
  time: Clock = createSystemClock(),
): Promise<ModelEngineStandIn> {
  const settings = modelEngineStandInSettingsSchema.parse(input);
  const clock = createOwnClock(time);
  const history = createHistory<EngineEntry>({ clock, limit: settings.recordLimit });
  const engine = createEngine(settings, clock, history);

  function handle(received: Received<ModelEngineFault>): MaybeLate {
    const route = routes[`${received.method} ${received.url.pathname}`];
    return route === undefined
      ? createJsonReply(404, { message: 'no such path' })
      : route(received);
  }

  const routes: Partial<Record<string, (received: Received<ModelEngineFault>) => MaybeLate>> = {
    'POST /v1/completions': (received) =>
      withBody(received, engineRequestSchema, (request) => complete(received, request)),
    'POST /v1/cancel': (received) =>
      withBody(received, requestIdSchema, ({ requestId }) => {
        engine.cancel(requestId);
        return { status: 204 };
      }),
    'POST /v1/orders': (received) =>
      withBody(received, orderSchema, (order) => {
        const result = engine.order(order);
        if (result === 'stale-fence') return createJsonReply(409, { message: result });
        return createJsonReply(200, { orderId: order.orderId, accepted: true });
      }),
    'POST /v1/kv/export': (received) =>
      withBody(received, requestIdSchema, ({ requestId }) => {
        const kv = engine.exportKv(requestId);
        return kv === undefined ? createJsonReply(404, {}) : createJsonReply(200, kv);
      }),
    'POST /v1/kv/import': (received) =>
      withBody(received, kvHandleSchema, async (kv) => {
        if (!engine.importKv(kv)) return createJsonReply(503, { reason: 'full' });
        await wait(clock, (kv.tokens / KILO) * settings.model.kvImportMsPerKiloToken);
        return { status: 204 };
      }),
    'GET /v1/load': () => createJsonReply(200, engine.load()),
    'GET /v1/state': () => createJsonReply(200, engine.state()),
    'GET /v1/cache-events': ({ url }) => {
      const after = Number(url.searchParams.get('after') ?? 0);
      return createJsonReply(200, { events: engine.cacheEvents(after) });
    },
    'POST /-/leave': () => {
      engine.leave();
      return { status: 204 };
    },
  };

  function complete(
    received: Received<ModelEngineFault>,
    request: EngineRequest,
  ): Reply | undefined {
    const { response, faults } = received;
    const dropped = findFault(faults, 'drop-answer') !== undefined;
    const stream = createStream(response, faults);
    const taken = engine.submit(request, dropped ? silentSink : stream);
    if (taken.isErr()) return createJsonReply(503, { reason: taken.error });
    if (dropped) {
      response.destroy();
      return undefined;
    }
    response.on('close', () => {
      engine.disconnect(taken.value);
    });
    stream.open();
    return undefined;
  }

  function act(fault: ModelEngineFault): void {
    if (fault.kind === 'none') engine.setSlowness(1);
    if (fault.kind === 'slow') engine.setSlowness(fault.factor);
    if (fault.kind !== 'crash') return;
    engine.crash();
    server.restart(fault.downMs ?? 0);
  }

  const server = await startServer<ModelEngineFault, EngineEntry>({
    listen: settings.listen,
    clock,
    faultSchema: modelEngineFaultSchema,
    history,
    handle,
    decline: () => createJsonReply(503, { reason: 'busy' }),
    onFault: act,
  });
  return {
    ...server,
    id: settings.id,
    leave: () => {
      engine.leave();
    },
    async stop() {
      engine.stop();
      await server.stop();
    },
  };
}

type MaybeLate = Reply | undefined | Promise<Reply | undefined>;

const silentSink: Sink = { onChunk: () => undefined, onEnd: () => undefined };

function withBody<Schema extends z.ZodType>(
  received: Received<ModelEngineFault>,
  schema: Schema,
  act: (value: z.infer<Schema>) => MaybeLate,
): MaybeLate {
  const parsed = parseBody(schema, received.body);
  if (parsed.success) return act(parsed.data);
  return createJsonReply(400, { message: z.prettifyError(parsed.error) });
}
