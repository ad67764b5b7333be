/**
 * Polls the state and the cache events of a server for the holder of its shard. The state is polled
 * independently of slow reads of cache events, so a leaving server is noticed within one interval
 * plus twice the timeout of a call. Load reports are not read: the holder counts its permits.
 */
import type { Failure } from '../errors/index.js';
import type {
  CacheEvent,
  EngineState,
  ModelEngine,
  PlainService,
  ServiceState,
} from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { Result } from 'ts-results-es';

/** Receives the results of a watch. */
export interface ServerWatchListener {
  engineStateReceived(state: EngineState): void;
  serviceStateReceived(state: ServiceState): void;
  /** Changes of the engine's prefix cache; they arrive late and with gaps. */
  cacheEventsReceived(server: string, events: readonly CacheEvent[]): void;
  answerMissed(server: string, failure: Failure): void;
}

/** A running watch of one server. */
export interface ServerWatch {
  stop(): void;
}

/** Dependencies of a watch. */
export interface ServerWatchParts {
  clock: Clock;
  intervalMs: number;
  listener: ServerWatchListener;
}

/**
 * Watches a model engine until stopped.
 *
 * @param engine the engine
 * @param parts clock, interval and listener
 */
export function watchEngine(engine: ModelEngine, parts: ServerWatchParts): ServerWatch {
  const events = createCacheReader(engine, parts.listener);
  let incarnation = '';
  return watch(engine, parts, {
    async readState() {
      const state = await engine.state();
      if (state.isErr()) return state;
      incarnation = state.value.incarnation;
      parts.listener.engineStateReceived(state.value);
      return state;
    },
    readMore: () => events.read(incarnation),
  });
}

/**
 * Watches a worker of a plain service until stopped.
 *
 * @param service the worker
 * @param parts clock, interval and listener
 */
export function watchService(service: PlainService, parts: ServerWatchParts): ServerWatch {
  return watch(service, parts, {
    async readState() {
      const state = await service.state();
      if (state.isOk()) parts.listener.serviceStateReceived(state.value);
      return state;
    },
    readMore: () => Promise.resolve(),
  });
}

interface CacheReader {
  read(incarnation: string): Promise<void>;
}

/** Reads events after the last one seen; a new incarnation restarts the sequence numbers. */
function createCacheReader(engine: ModelEngine, listener: ServerWatchListener): CacheReader {
  let lastSequence = 0;
  let known = '';
  return {
    async read(incarnation) {
      if (incarnation !== known) lastSequence = 0;
      known = incarnation;
      const events = await engine.cacheEvents(lastSequence);
      if (events.isErr()) return;
      lastSequence = events.value.at(-1)?.sequence ?? lastSequence;
      listener.cacheEventsReceived(engine.id, events.value);
    },
  };
}

/** Reads from one kind of server. */
interface Reads {
  /** Reads the state and passes it to the listener. */
  readState(): Promise<Result<unknown, Failure>>;
  /** Reads data other than the state. */
  readMore(): Promise<void>;
}

function watch(
  server: ModelEngine | PlainService,
  parts: ServerWatchParts,
  reads: Reads,
): ServerWatch {
  const { clock, intervalMs: everyMs, listener: listener } = parts;
  let timer: Timer | undefined;
  let isReading = false;
  let stopped = false;

  async function readState(): Promise<void> {
    const state = await reads.readState();
    if (state.isErr()) listener.answerMissed(server.id, state.error);
    else if (!isReading && !stopped) void readRest();
  }

  async function readRest(): Promise<void> {
    isReading = true;
    await reads.readMore();
    isReading = false;
  }

  function step(): void {
    const startedAt = clock.now();
    void readState().then(() => {
      if (stopped) return;
      timer = clock.after(Math.max(0, startedAt + everyMs - clock.now()), step);
    });
  }

  step();
  return {
    stop() {
      stopped = true;
      timer?.cancel();
    },
  };
}
