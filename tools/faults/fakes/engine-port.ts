/**
 * The port of one process to a fake engine, over the fake network.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, createRefusal, type Failure } from '../../../src/errors/index.js';
import type {
  EngineChunk,
  EngineRequest,
  EngineStream,
  LoadReport,
  ModelEngine,
  OrderOutcome,
} from '../../../src/ports/index.js';
import type { RandomSource } from '../../../src/task/index.js';
import type { StepWatch } from '../step-watch.js';
import type { FakeEngine, RunningStream } from './engine.js';
import type { Network } from './network.js';
import type { FakeProcess } from './process.js';
import type { FakeRecord } from './record.js';
import type { VirtualTime } from './virtual-time.js';

const QUERY_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** How long the second copy of an order may take, in milliseconds. */
const LATE_COPY_MS = 5_000;

/** What ports to engines need. */
export interface ServerPortParts {
  process: FakeProcess;
  network: Network;
  time: VirtualTime;
  random: RandomSource;
  watch: StepWatch;
  record: FakeRecord;
  /** When the sender could last have learnt what the others know. */
  informedAt(process: FakeProcess): number;
  /** Whether orders arrive a second time, late. */
  isDuplicating(): boolean;
}

/**
 * Creates a port to an engine.
 *
 * @param engine the engine; `undefined` when nothing listens at the address
 * @param id the engine's id
 * @param address its address
 * @param parts the process and its network
 */
export function createEnginePort(
  engine: FakeEngine | undefined,
  id: string,
  address: string,
  parts: ServerPortParts,
): ModelEngine {
  const { process: from, network, time, random, watch, record } = parts;

  function unreachable(): Failure {
    return createRefusal({
      code: 'backend-server-unreachable',
      message: 'no connection',
      step: 'engine.connect',
      peer: id,
    });
  }

  function cut(): Failure {
    return createUnknownOutcome({
      code: 'answer-incomplete',
      message: 'the stream was cut',
      step: 'engine.stream',
      peer: id,
    });
  }

  function isReachable(): boolean {
    return engine?.isUp() === true && !network.isCut(from.name, id);
  }

  function query<Value>(read: (engine: FakeEngine) => Value): Promise<Result<Value, Failure>> {
    return network.call<Result<Value, Failure>>({
      from,
      to: id,
      timeoutMs: QUERY_TIMEOUT_MS,
      effect: () => (engine?.isUp() === true ? Ok(read(engine)) : Err(unreachable())),
      lost: () => Err(unreachable()),
    });
  }

  /** Chunks wait here until the reader takes them. */
  function open(request: EngineRequest, signal: AbortSignal) {
    const items: (Result<EngineChunk, Failure> | 'end')[] = [];
    let wake: (() => void) | undefined;
    let stream: RunningStream | undefined;
    let isOver = false;

    function push(item: Result<EngineChunk, Failure> | 'end'): void {
      from.perform(() => {
        if (isOver) return;
        items.push(item);
        isOver = item === 'end' || item.isErr();
        wake?.();
      });
    }

    function receive(chunk: EngineChunk): void {
      time.after(network.latency(id), () => {
        if (network.isCut(from.name, id)) {
          // Half of the cut streams are reset, the others just fall silent.
          if (random.next() < 0.5) push(Err(cut()));
          return;
        }
        push(Ok(chunk));
        if (chunk.finishReason !== null) push('end');
        watch.reachAfter('engine.stream', from, id);
      });
    }

    function arrive(): void {
      if (engine === undefined || !isReachable()) {
        push(Err(unreachable()));
        return;
      }
      const informedAt = parts.informedAt(from);
      record.arrivals.push({ at: time.now(), server: id, node: from.name, informedAt });
      const sink = {
        chunk: receive,
        broken: () => {
          time.after(network.latency(id), () => {
            push(Err(cut()));
          });
        },
      };
      const begun = engine.begin(request, from.name, sink);
      watch.reachAfter(request.resumeFrom > 0 ? 'engine.resume' : 'engine.connect', from, id);
      if (typeof begun === 'string') push(Err(refused(id, begun)));
      else stream = begun;
    }

    function close(): void {
      isOver = true;
      wake?.();
      time.after(network.latency(id), () => stream?.cancel());
    }

    from.onKill(close);
    watch.reach(request.resumeFrom > 0 ? 'engine.resume' : 'engine.connect', from, id);
    from.perform(() => {
      if (signal.aborted) return;
      const delay = isReachable() ? network.latency(id) : CONNECT_TIMEOUT_MS;
      time.after(delay, arrive);
    });
    signal.addEventListener('abort', close, { once: true });
    return {
      async next(): Promise<Result<EngineChunk, Failure> | undefined> {
        for (;;) {
          const item = items.shift();
          if (item === 'end') return undefined;
          if (item !== undefined) return item;
          if (signal.aborted) return Err(cancelled(id, stream !== undefined));
          if (isOver) return Err(cut());
          await new Promise<void>((resolve) => {
            wake = resolve;
          });
        }
      },
      close,
    };
  }

  async function* generate(request: EngineRequest, signal: AbortSignal): EngineStream {
    const opened = open(request, signal);
    try {
      for (let item = await opened.next(); item !== undefined; item = await opened.next()) {
        watch.reach('engine.stream', from, id);
        yield item;
        if (item.isErr()) return;
      }
    } finally {
      opened.close();
    }
  }

  return {
    id,
    address,
    generate,
    cancel: (requestId) =>
      query((reached) => {
        reached.cancel(requestId);
      }),
    load: () => query((reached) => createLoad(reached.running())),
    cacheEvents: () => query(() => []),
    order(order) {
      watch.reach('order.send', from, id);
      // A connection delivers once: an engine that cannot tell a copy gets the order late instead.
      const isTwice = parts.isDuplicating() && engine?.vm.checksFence === true;
      const isLate = parts.isDuplicating() && !isTwice;
      const incarnation = engine?.state().incarnation;
      /** A connection does not outlive the engine's process. */
      const isConnected = () =>
        engine?.isUp() === true && engine.state().incarnation === incarnation;
      return network.call<OrderOutcome>({
        from,
        to: id,
        timeoutMs: QUERY_TIMEOUT_MS,
        extraDelayMs: isLate ? random.next() * LATE_COPY_MS : 0,
        effect: () => {
          if (engine === undefined || !isConnected()) {
            return { kind: 'not-sent', failure: unreachable() };
          }
          const outcome = engine.order(order, from.name);
          if (isTwice) {
            time.after(random.next() * LATE_COPY_MS, () => {
              if (isConnected()) engine.order(order, from.name);
            });
          }
          watch.reachAfter('order.send', from, id);
          return outcome;
        },
        lost: (sent) =>
          sent ? { kind: 'unknown', failure: cut() } : { kind: 'not-sent', failure: unreachable() },
      });
    },
    state: () => query((reached) => reached.state()),
    exportKv: () => Promise.resolve(Err(unreachable())),
    importKv: () => Promise.resolve(Err(unreachable())),
  };
}

function createLoad(running: number): LoadReport {
  return {
    sequence: 1,
    ageMs: 0,
    running,
    waiting: 0,
    kvTokensUsed: 0,
    kvTokensTotal: 100_000,
  };
}

function refused(peer: string, reason: string): Failure {
  const code = reason === 'leaving' ? 'leaving' : 'no-backend-server';
  return createRefusal({
    code: reason === 'full' ? 'queue-full' : code,
    message: `the engine declined: ${reason}`,
    step: 'engine.connect',
    peer,
  });
}

function cancelled(peer: string, hasBegun: boolean): Failure {
  const detail = { code: 'cancelled', message: 'cancelled', step: 'engine.stream', peer } as const;
  return hasBegun ? createUnknownOutcome(detail) : createRefusal(detail);
}
