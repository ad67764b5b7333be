/**
 * Places the requests of one service on its model engines. It sees every request of the service, so
 * it knows what each engine works on, keeps the queues itself, and turns a request away at once
 * when it could not be on time.
 *
 * A prompt goes to the engine that would have it read first, where reading parts again that another
 * engine has cached counts against an engine. The engine that generates is chosen when reading
 * starts. Everything here is soft state: a scheduler that starts anew knows the fleet within a
 * second, since reads are short.
 */
import type { Log } from '../events/index.js';
import type { HealthOutcome, RegisteredServer } from '../fleet/index.js';
import type { Clock, Timer } from '../task/index.js';
import { createEngineWatch } from './engine-watch.js';
import { createGeneratingEngines } from './generating-engines.js';
import type { Decision, EnginePlacement, Job } from './job.js';
import { createReadingEngine, type ReadingEngine } from './reading-engine.js';
import type { SchedulingTerms } from './terms.js';

/** What a scheduler needs. */
export interface SchedulerParts {
  clock: Clock;
  log: Log;
  terms: SchedulingTerms;
  /** Engines of the service that take requests now. */
  engines(): readonly RegisteredServer[];
  /** Tokens that the cache of one engine holds. */
  cacheTokens(): number;
}

/** Places the requests of one service. */
export interface Scheduler {
  /** Asks for engines; `decided` is called once, at once or when an engine is free. */
  submit(job: Job, decided: (decision: Decision) => void): void;
  /** Counts a request that another scheduler, now lost, has placed. */
  adopt(job: Job, placement: EnginePlacement): void;
  /** The prompt of a placed request was read. */
  promptRead(job: string): void;
  /** The first event of a placed request has come. */
  begun(job: string): void;
  /**
   * A request has ended, however; one that waits is forgotten.
   *
   * @param outcome what became of it at the engine that had it last, where that says something of it
   */
  finished(job: string, outcome?: HealthOutcome): void;
  /** An engine is gone for good. */
  forget(engine: string): void;
  /** Requests that were submitted and have not ended. */
  size(): number;
}

interface Entry {
  job: Job;
  submittedAt: number;
  decided: (decision: Decision) => void;
  /** Set while it waits or reads. */
  reader: ReadingEngine | undefined;
  queuedMs: number;
  /** It waits although its first event will be late. */
  isLate: boolean;
  /** Gives up on a late request that could no longer end in time. */
  expiry: Timer | undefined;
  placement: EnginePlacement | undefined;
  /** When it was given to its engines. */
  placedAt: number;
}

/** What waits for one engine. Those that can be on time go first. */
interface Queues {
  punctual: Entry[];
  late: Entry[];
}

/**
 * Creates a scheduler that knows of no request.
 *
 * @param parts the engines and the terms
 */
export function createScheduler(parts: SchedulerParts): Scheduler {
  const { clock, log, terms } = parts;
  const entries = new Map<string, Entry>();
  const readers = new Map<string, ReadingEngine>();
  const queues = new Map<string, Queues>();
  const generators = createGeneratingEngines();
  const watch = createEngineWatch(clock, log);

  function readerFor(id: string): ReadingEngine {
    const known = readers.get(id);
    if (known !== undefined) return known;
    const created = createReadingEngine(id, parts.cacheTokens());
    readers.set(id, created);
    return created;
  }

  function candidates(job: Job, role: 'prefill' | 'decode'): RegisteredServer[] {
    const fit: RegisteredServer[] = [];
    const sound: RegisteredServer[] = [];
    for (const engine of parts.engines()) {
      if (engine.role !== role || job.excluded.includes(engine.id)) continue;
      fit.push(engine);
      if (watch.mayTake(engine.id, inUse(engine.id))) sound.push(engine);
    }
    // where nothing seems sound, the judgement is more likely wrong than all engines are
    return sound.length > 0 ? sound : fit;
  }

  /** Requests that an engine was given or that wait for it. */
  function inUse(id: string): number {
    const waiting = queues.get(id);
    const queued = (waiting?.punctual.length ?? 0) + (waiting?.late.length ?? 0);
    return generators.running(id) + (readers.get(id)?.inFlight() ?? 0) + queued;
  }

  function chooseReader(job: Job, engines: readonly RegisteredServer[]) {
    const now = clock.now();
    let best: { engine: ReadingEngine; startMs: number; costMs: number } | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const { id, zone } of engines) {
      const engine = readerFor(id);
      const startMs = engine.backlogMs(now);
      const { costMs } = engine.estimate(job.prompt);
      const distanceMs = zone === job.zone ? 0 : terms.otherZoneMs;
      const score = startMs + costMs + terms.rereadWeight * costMs + distanceMs;
      if (score >= bestScore) continue;
      best = { engine, startMs, costMs };
      bestScore = score;
    }
    return best;
  }

  function placeDirectly(entry: Entry): void {
    const engines = candidates(entry.job, 'decode');
    const generator = generators.choose(engines, entry.job.zone, entry.job.rank);
    if (generator === undefined) {
      decline(entry, { reason: 'no-engine', retryAfterMs: 200, backlogMs: 0 });
      return;
    }
    watch.expect(entry.job.id, generator.id);
    place(entry, { generator: generator.id, expectedReadMs: 0 });
  }

  function place(entry: Entry, placement: EnginePlacement): void {
    entry.placement = placement;
    entry.placedAt = clock.now();
    entry.expiry?.cancel();
    generators.start(placement.generator, entry.job.rank);
    log.write('requestPlaced', {
      request: entry.job.requestId,
      ...placement,
      tokens: entry.job.prompt.tokens,
      outputTokens: entry.job.prompt.maxOutputTokens,
      readMs: Math.round(entry.queuedMs),
      waitedMs: Math.round(clock.now() - entry.submittedAt),
    });
    entry.decided({ kind: 'placed', placement });
  }

  function decline(entry: Entry, decision: Omit<Decision & { kind: 'declined' }, 'kind'>): void {
    entries.delete(entry.job.id);
    entry.decided({ kind: 'declined', ...decision });
  }

  function submit(job: Job, decided: (decision: Decision) => void): void {
    const entry: Entry = {
      job,
      submittedAt: clock.now(),
      decided,
      reader: undefined,
      queuedMs: 0,
      isLate: false,
      expiry: undefined,
      placement: undefined,
      placedAt: 0,
    };
    entries.set(job.id, entry);
    route(entry);
  }

  /** Finds engines for a request, or declines it. */
  function route(entry: Entry): void {
    const { job } = entry;
    const prefill = candidates(job, 'prefill');
    const isDirect = job.isRead || job.prompt.tokens <= terms.directTokens;
    const choice = isDirect ? undefined : chooseReader(job, prefill);
    if (choice === undefined) {
      placeDirectly(entry);
      return;
    }
    const { engine, startMs, costMs } = choice;
    const spentMs = clock.now() - entry.submittedAt;
    const waitMs = resolveWait(job, Math.min(costMs, terms.countedReadMs)) - spentMs;
    if (startMs <= waitMs) {
      enqueue(entry, engine, costMs, false);
      return;
    }
    const backlogMs = startMs + engine.lateMs();
    const neededMs = spentMs + backlogMs + costMs + terms.lateReserveMs;
    const hasRoom = engine.lateMs() <= terms.lateBacklogMs && neededMs <= job.timeLeftMs;
    if (job.isReturn && hasRoom) {
      enqueue(entry, engine, costMs, true);
      return;
    }
    const retryAfterMs = resolveRetryAfter(job, startMs - waitMs);
    decline(entry, { reason: 'cannot-be-on-time', retryAfterMs, backlogMs });
  }

  /** How long a request may wait for an engine and still be on time. */
  function resolveWait(job: Job, readMs: number): number {
    const spareMs = job.aimLeftMs - readMs - terms.reserveMs;
    return job.isReturn ? spareMs : spareMs * terms.freshShare;
  }

  function queuesOf(engine: ReadingEngine): Queues {
    const known = queues.get(engine.id);
    if (known !== undefined) return known;
    const created: Queues = { punctual: [], late: [] };
    queues.set(engine.id, created);
    return created;
  }

  function enqueue(entry: Entry, engine: ReadingEngine, costMs: number, isLate: boolean): void {
    entry.reader = engine;
    entry.queuedMs = costMs;
    entry.isLate = isLate;
    engine.enqueue(costMs, isLate);
    const { punctual, late } = queuesOf(engine);
    (isLate ? late : punctual).push(entry);
    if (isLate)
      entry.expiry = clock.after(Math.max(0, latestStartMs(entry)), () => {
        expire(entry);
      });
    advance(engine);
  }

  /** Time until a request has to start to be read, or it cannot end within its deadline. */
  function latestStartMs({ job, queuedMs, submittedAt, reader }: Entry): number {
    const now = clock.now();
    const leftMs = job.timeLeftMs - (now - submittedAt);
    return leftMs - (reader?.readMs(now) ?? 0) - queuedMs - terms.reserveMs * 2;
  }

  function expire(entry: Entry): void {
    if (entry.placement !== undefined || !entries.has(entry.job.id)) return;
    turnAway(entry);
    leaveReader(entry, false);
  }

  /** Declines a request that waited until it could no longer end within its deadline. */
  function turnAway(entry: Entry): void {
    entry.expiry?.cancel();
    const backlogMs = entry.reader?.backlogMs(clock.now()) ?? 0;
    const retryAfterMs = MIN_RETRY_AFTER_MS;
    decline(entry, { reason: 'cannot-be-on-time', retryAfterMs, backlogMs });
  }

  /** Starts reads at an engine while it has room for them. */
  function advance(engine: ReadingEngine): void {
    const { punctual, late } = queuesOf(engine);
    while (engine.inFlight() < terms.readsInFlight) {
      const entry = punctual.shift() ?? late.shift();
      if (entry === undefined) return;
      engine.dequeue(entry.queuedMs, entry.isLate);
      if (entry.isLate && latestStartMs(entry) < 0) turnAway(entry);
      else if (isCandidate(engine.id, entry.job)) startRead(entry, engine);
      else leaveFor(entry);
    }
  }

  /** The engine that a request waited for takes nothing any more; another is found. */
  function leaveFor(entry: Entry): void {
    entry.reader = undefined;
    entry.expiry?.cancel();
    route(entry);
  }

  /**
   * The same rule that placing goes by. With another rule here, a request that waits at an engine
   * that only placing accepts goes to and fro between the two until the stack is full, and the
   * process ends with all requests that it serves.
   */
  function isCandidate(id: string, job: Job): boolean {
    for (const engine of candidates(job, 'prefill')) {
      if (engine.id === id) return true;
    }
    return false;
  }

  function startRead(entry: Entry, engine: ReadingEngine): void {
    const zone = findZone(engine.id) ?? entry.job.zone;
    const generator = generators.choose(candidates(entry.job, 'decode'), zone, entry.job.rank);
    if (generator === undefined) {
      entry.reader = undefined;
      decline(entry, { reason: 'no-engine', retryAfterMs: 200, backlogMs: 0 });
      return;
    }
    engine.start(entry.job.id, entry.job.prompt, clock.now());
    const expectedReadMs = engine.readMs(clock.now());
    place(entry, { reader: engine.id, generator: generator.id, expectedReadMs });
  }

  function findZone(id: string): string | undefined {
    for (const engine of parts.engines()) {
      if (engine.id === id) return engine.zone;
    }
    return undefined;
  }

  /**
   * Takes in what became of a request at its engine: the one that reads, or after that the one that
   * generates. An engine that declines a prompt that was read elsewhere may be right, since the
   * reader may have dropped it; so the reader is judged as well.
   */
  function judge({ reader, placement, placedAt }: Entry, outcome: HealthOutcome): void {
    if (placement === undefined) return;
    watch.judge(reader?.id ?? placement.generator, outcome, placedAt);
    const isOnReaderToo = outcome === 'good' || outcome === 'declined';
    if (reader !== undefined || placement.reader === undefined || !isOnReaderToo) return;
    watch.judge(placement.reader, outcome, placedAt);
  }

  function leaveReader(entry: Entry, isWhole: boolean): void {
    const engine = entry.reader;
    entry.expiry?.cancel();
    if (engine === undefined) return;
    entry.reader = undefined;
    if (entry.placement === undefined) {
      const { punctual, late } = queuesOf(engine);
      const queue = entry.isLate ? late : punctual;
      const index = queue.indexOf(entry);
      if (index >= 0) queue.splice(index, 1);
      engine.dequeue(entry.queuedMs, entry.isLate);
      return;
    }
    engine.end(entry.job.id, isWhole, clock.now());
    advance(engine);
  }

  return {
    submit,
    adopt(job, placement) {
      if (entries.has(job.id)) return;
      entries.set(job.id, {
        job,
        submittedAt: clock.now(),
        decided: () => undefined,
        reader: undefined,
        queuedMs: 0,
        isLate: false,
        expiry: undefined,
        placement,
        placedAt: clock.now(),
      });
      generators.start(placement.generator, job.rank);
    },
    promptRead(id) {
      const entry = entries.get(id);
      if (entry?.placement === undefined) return;
      if (entry.reader !== undefined) watch.heard(entry.reader.id);
      leaveReader(entry, true);
      watch.expect(id, entry.placement.generator);
    },
    begun(id) {
      watch.begun(id);
    },
    finished(id, outcome) {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entries.delete(id);
      watch.ended(id);
      if (outcome !== undefined) judge(entry, outcome);
      leaveReader(entry, false);
      if (entry.placement !== undefined) {
        generators.end(entry.placement.generator, entry.job.rank);
      }
    },
    forget(engine) {
      watch.forget(engine);
      if (inUse(engine) > 0) return;
      readers.delete(engine);
      queues.delete(engine);
    },
    size: () => entries.size,
  };
}

/** Longest part of the time left after which callers come back as told: a third. */
const MAX_WAIT_SHARE = 1 / 3;
/** Shortest time after which a refused caller is told to come back, in ms. */
const MIN_RETRY_AFTER_MS = 50;

function resolveRetryAfter(job: Job, surplusMs: number): number {
  return Math.min(job.timeLeftMs * MAX_WAIT_SHARE, Math.max(MIN_RETRY_AFTER_MS, surplusMs * 2));
}
