/**
 * A model engine: a few streams at once, orders that take an instant to be taken and a while to
 * take effect, and crashes. It records what reaches it.
 */
import type {
  EngineChunk,
  EngineRequest,
  EngineState,
  Order,
  OrderOutcome,
  Vm,
} from '../../../src/ports/index.js';
import type { RandomSource } from '../../../src/task/index.js';
import { tokenAt, tokenCount } from './answers.js';
import type { FakeRecord } from './record.js';
import type { VirtualTime } from './virtual-time.js';

const TOKEN_MS = 35;
const ORDER_MS = 600;
const MAX_BATCH = 3;
/** Share of streams that break by themselves. */
const BREAK_SHARE = 0.04;

/** Receives what one stream gives. */
export interface StreamSink {
  chunk(chunk: EngineChunk): void;
  /** The stream broke. */
  broken(): void;
}

/** A stream that runs on the engine. */
export interface RunningStream {
  cancel(): void;
}

/** One model engine. */
export interface FakeEngine {
  readonly vm: Vm;
  state(): EngineState;
  running(): number;
  /** @returns the reason for starting nothing, or the stream */
  begin(request: EngineRequest, node: string, sink: StreamSink): string | RunningStream;
  order(order: Order, node: string): OrderOutcome;
  cancel(requestId: string): void;
  /** Streams break by themselves no more. */
  heal(): void;
  /** Every running stream breaks; the engine itself goes on. */
  breakStreams(): void;
  crash(): void;
  restart(): void;
  isUp(): boolean;
  /** It says that it leaves, and takes nothing new. */
  leave(): void;
  /** The next chunks come twice, and crossed with another request's. */
  disturb(count: number): void;
}

/** What an engine is made of. */
export interface FakeEngineParts {
  vm: Vm;
  time: VirtualTime;
  random: RandomSource;
  record: FakeRecord;
  models: string[];
  /** It knows only the last order again, not all that it received. */
  forgetsOrders: boolean;
}

interface Stream {
  requestId: string;
  sink: StreamSink;
  stop(): void;
}

/**
 * Creates an engine that is up and idle.
 *
 * @param parts its VM, the time and the record
 */
export function createFakeEngine(parts: FakeEngineParts): FakeEngine {
  const { vm, time, random, record } = parts;
  const streams = new Set<Stream>();
  let incarnation = 1;
  let up = true;
  let leaving = false;
  let busy = false;
  let fence = 0;
  let lastOrderId: string | null = null;
  /** Receiving an order again changes nothing, as the port has it, until the engine restarts. */
  const seenOrders = new Set<string>();
  let wanted: Order['wanted'] = { role: 'mixed', models: parts.models, adapters: [] };
  let disturbed = 0;
  let isHealed = false;

  function emit(stream: Stream, chunk: EngineChunk): void {
    stream.sink.chunk(chunk);
    if (disturbed === 0) return;
    disturbed -= 1;
    stream.sink.chunk({ ...chunk, requestId: 'another-request', text: 'crossed ' });
    stream.sink.chunk(chunk);
  }

  function breakAll(): string[] {
    const cut: string[] = [];
    for (const stream of [...streams]) {
      cut.push(stream.requestId);
      stream.stop();
      stream.sink.broken();
    }
    return cut;
  }

  function begin(request: EngineRequest, node: string, sink: StreamSink): string | RunningStream {
    if (leaving) return 'leaving';
    if (busy) return 'busy';
    if (streams.size >= MAX_BATCH) return 'full';
    if (wanted.role !== 'mixed') return 'wrong-role';
    if (!wanted.models.includes(request.model)) return 'model-not-loaded';
    const { requestId, prompt } = request;
    const server = vm.id;
    record.executions.push({ at: time.now(), server, node, requestId, key: '', answer: '' });
    const total = Math.min(request.maxTokens, tokenCount(prompt));
    const breaks = random.next() < BREAK_SHARE && !isHealed;
    const breakAt = breaks ? request.resumeFrom + 1 : Infinity;
    let index = request.resumeFrom;
    let timer = time.after(TOKEN_MS, next);
    const stream: Stream = {
      requestId,
      sink,
      stop() {
        timer.cancel();
        streams.delete(stream);
      },
    };
    streams.add(stream);

    function next(): void {
      if (index >= breakAt) {
        stream.stop();
        sink.broken();
        return;
      }
      const isLast = index >= total - 1;
      if (isLast) stream.stop();
      emit(stream, createChunk(request, index, isLast));
      index += 1;
      if (!isLast) timer = time.after(TOKEN_MS, next);
    }

    return {
      cancel: () => {
        stream.stop();
      },
    };
  }

  function takeOrder(order: Order, node: string): OrderOutcome {
    const wasBusy = busy;
    const entry = { at: time.now(), engine: vm.id, node, order, wasBusy };
    if (vm.checksFence && order.fence < fence) {
      record.orders.push({ ...entry, result: 'stale', cut: [] });
      return { kind: 'stale-fence' };
    }
    fence = Math.max(fence, order.fence);
    if (seenOrders.has(order.orderId)) {
      record.orders.push({ ...entry, result: 'repeated', cut: [] });
      return { kind: 'accepted' };
    }
    lastOrderId = order.orderId;
    if (parts.forgetsOrders) seenOrders.clear();
    seenOrders.add(order.orderId);
    record.orders.push({ ...entry, result: 'taken', cut: breakAll() });
    busy = true;
    const ordered = incarnation;
    time.after(ORDER_MS, () => {
      if (incarnation !== ordered || lastOrderId !== order.orderId) return;
      wanted = order.wanted;
      busy = false;
    });
    return { kind: 'accepted' };
  }

  return {
    vm,
    state: () => ({
      id: vm.id,
      incarnation: `${vm.id}#${incarnation}`,
      ...wanted,
      busy,
      leaving,
      lastOrderId,
      fence,
      maxBatch: MAX_BATCH,
      kvTokensTotal: 100_000,
      prefillTokensPerSecond: 10_000,
      decodeTokensPerSecond: 1_000 / TOKEN_MS,
    }),
    running: () => streams.size,
    begin,
    order: takeOrder,
    cancel(requestId) {
      for (const stream of [...streams]) {
        if (stream.requestId === requestId) stream.stop();
      }
    },
    heal() {
      isHealed = true;
    },
    breakStreams() {
      breakAll();
    },
    crash() {
      up = false;
      breakAll();
    },
    restart() {
      if (up) return;
      up = true;
      incarnation += 1;
      busy = false;
      fence = 0;
      lastOrderId = null;
      seenOrders.clear();
      wanted = { role: 'mixed', models: parts.models, adapters: [] };
    },
    isUp: () => up,
    leave() {
      leaving = true;
    },
    disturb(count) {
      disturbed += count;
    },
  };
}

function createChunk(request: EngineRequest, index: number, isLast: boolean): EngineChunk {
  const { requestId, prompt } = request;
  const text = tokenAt(prompt, index);
  if (!isLast) return { requestId, index, text, finishReason: null };
  const usage = { promptTokens: 1, cachedTokens: 0, completionTokens: index + 1 };
  return { requestId, index, text, finishReason: 'stop', usage };
}
