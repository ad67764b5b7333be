/**
 * An engine without its HTTP: what it takes and refuses, its orders and its record.
 */
import { randomUUID } from 'node:crypto';
import { Err, Ok, type Result } from 'ts-results-es';
import {
  PREFIX_BLOCK_TOKENS,
  type CacheEvent,
  type EngineRequest,
  type EngineState,
  type KvHandle,
  type LoadReport,
  type Order,
} from '../../src/ports/index.js';
import { createSeededRandom, type Clock, type Timer } from '../../src/task/index.js';
import type { History } from '../common/index.js';
import { createBatch } from './batch.js';
import { createCacheEvents } from './cache-events.js';
import { createGeneration, type Ending, type Generation, type Sink } from './generation.js';
import { createKvShelf } from './kv-shelf.js';
import { startLoadReports } from './load-reports.js';
import { createPrefixCache } from './prefix-cache.js';
import type { ModelEngineSettings } from './settings.js';

/** Why a request was not taken; nothing was started. */
export type RefusalReason =
  'full' | 'wrong-role' | 'model-not-loaded' | 'busy' | 'leaving' | 'unknown-handle';

/** What became of an order: the last but one was received before and changes nothing. */
export type OrderResult = 'changes' | 'changes-nothing' | 'duplicate' | 'stale-fence';

/** What an engine records. */
export type EngineEntry =
  | {
      event: 'order';
      orderId: string;
      fence: number;
      node: string;
      wanted: Order['wanted'];
      result: OrderResult;
      /** Whether an earlier order was still taking effect. */
      whileBusy: boolean;
      /** Requests that were running or waiting when it came. */
      inFlight: number;
    }
  | { event: 'order-done'; orderId: string }
  | { event: 'received' | 'start'; requestId: string; resumeFrom: number }
  | { event: 'refused'; requestId: string; reason: RefusalReason }
  | { event: 'end' | 'cancel' | 'disconnect'; requestId: string; tokens: number }
  | { event: 'cut'; requestId: string; tokens: number; cause: string }
  | { event: 'export' | 'import'; handle: string; tokens: number }
  | { event: 'leaving' }
  | { event: 'crash'; incarnation: string };

/** An engine. */
export interface Engine {
  /** Takes a request, or says why not. */
  submit(request: EngineRequest, sink: Sink): Result<Generation, RefusalReason>;
  /** Ends a request early, if it is here. */
  cancel(requestId: string): void;
  /** Ends a request whose reader is gone. */
  disconnect(generation: Generation): void;
  order(order: Order): OrderResult;
  state(): EngineState;
  load(): LoadReport;
  cacheEvents(after: number): CacheEvent[];
  /** Gives the KV cache of a request that was read; `undefined` when there is none. */
  exportKv(requestId: string): KvHandle | undefined;
  /** Takes in a KV cache; false when there is no room. Its time is the caller's to spend. */
  importKv(handle: KvHandle): boolean;
  /** Takes no new requests from now on. */
  leave(): void;
  /** Loses everything and is another incarnation. */
  crash(): void;
  /** Makes steps so many times as long. */
  setSlowness(factor: number): void;
  stop(): void;
}

/** What of an engine an order can change. */
type Equipment = Order['wanted'];

const SECOND_MS = 1_000;

/**
 * Creates an idle engine.
 *
 * @param settings what it is and how long its work takes
 * @param clock what it goes by
 * @param history where it records
 */
export function createEngine(
  settings: ModelEngineSettings,
  clock: Clock,
  history: History<EngineEntry>,
): Engine {
  const { id, model: times } = settings;
  const random = createSeededRandom(settings.seed);
  const events = createCacheEvents({
    clock,
    random,
    lagMs: times.cacheEventLagMs,
    loss: times.cacheEventLoss,
  });
  const cache = createPrefixCache({
    maxBlocks: Math.floor(times.cacheTokens / PREFIX_BLOCK_TOKENS),
    onStored: (prefixes) => {
      events.add('stored', prefixes);
    },
    onRemoved: (prefixes) => {
      events.add('removed', prefixes);
    },
  });
  const exportable = createKvShelf(clock, times.kvKeptMs);
  const imported = createKvShelf(clock, times.kvKeptMs);
  const batch = createBatch({
    clock,
    times,
    cache,
    otherKvTokens: () => exportable.tokens() + imported.tokens(),
    slowness: () => slowness,
    onStarted: ({ request: { requestId, resumeFrom } }) => {
      history.add({ event: 'start', requestId, resumeFrom });
    },
    onFinished: finish,
  });
  const reports = startLoadReports({
    clock,
    everyMs: times.reportEveryMs,
    lagMs: times.reportLagMs,
    measure: () => ({
      running: batch.running(),
      waiting: batch.waiting(),
      kvTokensUsed: batch.kvTokens() + exportable.tokens() + imported.tokens(),
      kvTokensTotal: times.kvTokensTotal,
    }),
  });

  let slowness = 1;
  let incarnation: string = randomUUID();
  let equipment = resolveEquipment(settings);
  /** What the order that is taking effect leads to. */
  let target = equipment;
  let change: Timer | undefined;
  let leaving = false;
  let fence = 0;
  let lastOrderId: string | null = null;
  let seenOrders = new Set<string>();
  let arrivals = 0;

  function submit(request: EngineRequest, sink: Sink): Result<Generation, RefusalReason> {
    const { requestId, resumeFrom } = request;
    history.add({ event: 'received', requestId, resumeFrom });
    const taken = take(request, sink);
    if (taken.isErr()) history.add({ event: 'refused', requestId, reason: taken.error });
    return taken;
  }

  function take(request: EngineRequest, sink: Sink): Result<Generation, RefusalReason> {
    const reason = resolveRefusal(request);
    if (reason !== undefined) return Err(reason);
    const importedTokens = imported.take(request.kvHandle ?? '') ?? 0;
    arrivals += 1;
    const generation = createGeneration(request, sink, arrivals, importedTokens);
    return batch.add(generation) ? Ok(generation) : Err('full');
  }

  function resolveRefusal(request: EngineRequest): RefusalReason | undefined {
    const { kvHandle, adapter } = request;
    if (leaving) return 'leaving';
    if (change !== undefined) return 'busy';
    if (equipment.role === 'prefill' && !request.prefillOnly) return 'wrong-role';
    if (equipment.role === 'decode' && kvHandle === undefined) return 'wrong-role';
    if (!equipment.models.includes(request.model)) return 'model-not-loaded';
    if (adapter !== undefined && !equipment.adapters.includes(adapter)) return 'model-not-loaded';
    if (kvHandle !== undefined && !imported.has(kvHandle)) return 'unknown-handle';
    return undefined;
  }

  function finish(generation: Generation): void {
    const { requestId, prefillOnly } = generation.request;
    if (prefillOnly) exportable.put(requestId, generation.promptTokens);
    history.add({ event: 'end', requestId, tokens: prefillOnly ? 0 : generation.next });
  }

  function end(generation: Generation, event: 'cancel' | 'disconnect'): void {
    if (!generation.live) return;
    const { request, next: tokens } = generation;
    history.add({ event, requestId: request.requestId, tokens });
    batch.drop(generation, 'cancelled');
  }

  function cutAll(cause: string): void {
    const ending: Ending = 'cut';
    for (const { request, next: tokens } of batch.dropAll(ending)) {
      history.add({ event: 'cut', requestId: request.requestId, tokens, cause });
    }
    exportable.clear();
    imported.clear();
    cache.clear();
    events.add('cleared', []);
  }

  function order(received: Order): OrderResult {
    const result = resolveOrderResult(received);
    const { orderId, node, wanted } = received;
    const inFlight = batch.running() + batch.waiting();
    const whileBusy = change !== undefined;
    history.add({
      event: 'order',
      orderId,
      fence: received.fence,
      node,
      wanted,
      result,
      whileBusy,
      inFlight,
    });
    if (result === 'stale-fence') return result;
    fence = Math.max(fence, received.fence);
    if (result === 'duplicate') return result;
    seenOrders.add(orderId);
    lastOrderId = orderId;
    if (result === 'changes') begin(received);
    return result;
  }

  function resolveOrderResult(received: Order): OrderResult {
    if (settings.checksFence && received.fence < fence) return 'stale-fence';
    if (seenOrders.has(received.orderId)) return 'duplicate';
    return isSameEquipment(target, received.wanted) ? 'changes-nothing' : 'changes';
  }

  function begin({ orderId, wanted }: Order): void {
    cutAll(`order ${orderId}`);
    change?.cancel();
    target = wanted;
    change = clock.after(resolveChangeMs(wanted), () => {
      change = undefined;
      equipment = wanted;
      history.add({ event: 'order-done', orderId });
    });
  }

  function resolveChangeMs(wanted: Equipment): number {
    const models = countNew(equipment.models, wanted.models) * times.modelLoadMs;
    const adapters = countNew(equipment.adapters, wanted.adapters) * times.adapterLoadMs;
    const role = equipment.role === wanted.role ? 0 : times.roleChangeMs;
    return Math.max(times.unloadMs, models + adapters + role);
  }

  function exportKv(requestId: string): KvHandle | undefined {
    const running = batch.find(requestId);
    const read = running?.prefillLeft === 0 ? running.promptTokens : undefined;
    const tokens = exportable.take(requestId) ?? read;
    if (tokens === undefined) return undefined;
    const handle = `${id}/${incarnation}/${requestId}`;
    history.add({ event: 'export', handle, tokens });
    return { handle, tokens };
  }

  function importKv({ handle, tokens }: KvHandle): boolean {
    const used = batch.kvTokens() + exportable.tokens() + imported.tokens();
    if (used + tokens > times.kvTokensTotal) return false;
    imported.put(handle, tokens);
    history.add({ event: 'import', handle, tokens });
    return true;
  }

  function crash(): void {
    cutAll('crash');
    change?.cancel();
    change = undefined;
    equipment = resolveEquipment(settings);
    target = equipment;
    leaving = false;
    fence = 0;
    lastOrderId = null;
    seenOrders = new Set();
    incarnation = randomUUID();
    history.add({ event: 'crash', incarnation });
  }

  return {
    submit,
    cancel(requestId) {
      const generation = batch.find(requestId);
      if (generation !== undefined) end(generation, 'cancel');
    },
    disconnect(generation) {
      end(generation, 'disconnect');
    },
    order,
    state: () => ({
      id,
      incarnation,
      ...equipment,
      busy: change !== undefined,
      leaving,
      lastOrderId,
      fence,
      maxBatch: times.maxBatch,
      kvTokensTotal: times.kvTokensTotal,
      prefillTokensPerSecond: resolvePrefillRate(settings),
      decodeTokensPerSecond: SECOND_MS / (times.stepBaseMs + times.perSequenceMs * times.maxBatch),
    }),
    load: () => reports.read(),
    cacheEvents: (after) => events.list(after),
    exportKv,
    importKv,
    leave() {
      leaving = true;
      history.add({ event: 'leaving' });
    },
    crash,
    setSlowness(factor) {
      slowness = factor;
    },
    stop() {
      reports.stop();
      batch.dropAll('cut');
      change?.cancel();
      exportable.clear();
      imported.clear();
    },
  };
}

function resolveEquipment(settings: ModelEngineSettings): Equipment {
  return { role: settings.role, models: settings.models, adapters: settings.adapters };
}

/** Prompt tokens a second of an engine that does nothing else. */
function resolvePrefillRate({ model: times }: ModelEngineSettings): number {
  const chunkMs = (times.prefillChunkTokens * SECOND_MS) / times.prefillTokensPerSecond;
  return (times.prefillChunkTokens * SECOND_MS) / (times.stepBaseMs + chunkMs);
}

function countNew(present: readonly string[], wanted: readonly string[]): number {
  return wanted.filter((name) => !present.includes(name)).length;
}

function isSameEquipment(one: Equipment, other: Equipment): boolean {
  return (
    one.role === other.role &&
    isSameSet(one.models, other.models) &&
    isSameSet(one.adapters, other.adapters)
  );
}

function isSameSet(one: readonly string[], other: readonly string[]): boolean {
  return countNew(one, other) === 0 && countNew(other, one) === 0;
}
