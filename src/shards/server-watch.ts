/**
 * The task by which the holder of a shard keeps itself informed of each server, by the server's own
 * word on its state. The state is read at a pace of its own, whatever the other reads take: that a
 * server leaves is heard within twice the time a call may take and one period. Load reports are not
 * read: the tally is exact without them, and before an order the load is asked for then.
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

/** What the watch tells its owner. */
export interface ServerWatchListener {
  engineStateReceived(state: EngineState): void;
  serviceStateReceived(state: ServiceState): void;
  /** Changes of the engine's prefix cache, late and with gaps. */
  cacheEventsReceived(server: string, events: readonly CacheEvent[]): void;
  /** The server did not answer. */
  answerMissed(server: string, failure: Failure): void;
}

/** A watch over one server. */
export interface ServerWatch {
  stop(): void;
}

/** What a watch needs. */
export interface ServerWatchParts {
  clock: Clock;
  intervalMs: number;
  listener: ServerWatchListener;
}

/**
 * Watches a model engine until stopped.
 *
 * @param engine the engine
 * @param parts the clock and who is told
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
 * @param parts the clock and who is told
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

/** Reads on where it stopped; another incarnation numbers its events anew. */
function createCacheReader(engine: ModelEngine, owner: ServerWatchListener): CacheReader {
  let after = 0;
  let known = '';
  return {
    async read(incarnation) {
      if (incarnation !== known) after = 0;
      known = incarnation;
      const events = await engine.cacheEvents(after);
      if (events.isErr()) return;
      after = events.value.at(-1)?.sequence ?? after;
      owner.cacheEventsReceived(engine.id, events.value);
    },
  };
}

/** What is read of a server. */
interface Reads {
  /** Its own word, passed on to the owner. */
  readState(): Promise<Result<unknown, Failure>>;
  /** What there is besides the state. */
  readMore(): Promise<void>;
}

function watch(
  server: ModelEngine | PlainService,
  parts: ServerWatchParts,
  reads: Reads,
): ServerWatch {
  const { clock, intervalMs: everyMs, listener: owner } = parts;
  let timer: Timer | undefined;
  let isReading = false;
  let stopped = false;

  async function readState(): Promise<void> {
    const state = await reads.readState();
    if (state.isErr()) owner.answerMissed(server.id, state.error);
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
