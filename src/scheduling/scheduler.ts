/**
 * Places the requests of one service on its model engines. It sees every request of the service, so
 * it knows what each engine works on, keeps the queues itself, and turns a request away at once
 * when it cannot be served in time.
 *
 * A prompt is read by an engine that reads for others, or by the one that generates where that is
 * better (`admission.ts`). The engine that generates is chosen when reading starts. Everything here is
 * soft state: a scheduler that starts anew knows the fleet within a second, since reads are short.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { Log } from '../events/index.js';
import type { HealthOutcome, RegisteredServer } from '../fleet/index.js';
import type { Clock, Timer } from '../task/index.js';
import {
  resolveAdmission,
  resolveLateFirstTokenMs,
  resolveFirstTokenMs,
  resolveRetryAfterMs,
} from './admission.js';
import type { CacheInventory } from './cached-parts.js';
import { createCandidates } from './candidates.js';
import type { EngineModel } from './engine-model.js';
import { createEngineMonitor } from './engine-monitor.js';
import { createTrackedJob, type TrackedJob } from './tracked-job.js';
import { createDecodeEngines } from './decode-engines.js';
import { createDecodeLoad } from './decode-load.js';
import type { Decision, DeclineReason, EnginePlacement, Job } from './job.js';
import { createEngineStates } from './engine-states.js';
import { createLatencyMargin } from './latency-margin.js';
import { createPrefillOptions, resolveTransferWork } from './prefill-options.js';
import type { LatencyModels } from './latency-models.js';
import {
  MAX_COMMITTED_MS,
  LATE_SAFETY_FACTOR,
  MAX_MARGIN_SHARE,
  type SchedulingMechanisms,
} from './policy.js';
import type { PrefillQueue } from './prefill-queue.js';
import { createRecentLoad, resolveSpareCapacity } from './recent-load.js';

/** What a scheduler needs. */
export interface SchedulerParts {
  clock: Clock;
  log: Log;
  mechanisms: SchedulingMechanisms;
  /** What is known of the service's engines. */
  latencyModels: LatencyModels;
  /** Engines of the service that take requests now. */
  engines(): readonly RegisteredServer[];
  /** Tokens that the cache of one engine holds. */
  cacheTokens(): number;
  caches: CacheInventory;
  /** Room within the limits that engines have named. */
  limits: SendLimits;
}

/** Places the requests of one service. */
export interface Scheduler {
  /** Asks for engines; `decided` is called once, at once or when an engine is free. */
  submit(job: Job, decided: (decision: Decision) => void): void;
  /** Counts a request that another scheduler, now lost, has placed. */
  adopt(job: Job, placement: EnginePlacement): void;
  /** The prompt of a placed request was read. */
  prefillCompleted(job: string): void;
  /** The first event of a placed request has come. */
  firstTokenReceived(job: string): void;
  /**
   * A request has ended, however; one that waits is forgotten.
   *
   * @param outcome what became of it at the engine that had it last, where that says something of it
   */
  finished(job: string, outcome?: HealthOutcome): void;
  /** An engine is gone for good. */
  forget(engine: string): void;
  /**
   * Work of generating, in engines that it would keep busy: its fading peak; `undefined`
   * while too little was seen.
   */
  peakDecodeLoad(): number | undefined;
  /** Requests that were submitted and have not ended. */
  size(): number;
}

/** A request finds another engine at most so often while it waits: engines that all fail in turn are
 * not worth more of its caller's time. */
const MAX_MOVES = 5;
/** Time after which a caller is told to come back where no engine takes requests, in ms: the order of
 * the time in which a lost engine is noticed. */
const NO_ENGINE_RETRY_MS = 200;

/**
 * Creates a scheduler that knows of no request.
 *
 * @param parts the engines and the terms
 */
export function createScheduler(parts: SchedulerParts): Scheduler {
  const { clock, log, latencyModels: paces, mechanisms, limits } = parts;
  const entries = new Map<string, TrackedJob>();
  /** Engines that are to get the next read once they have nearly done the present one. */
  const wakeUps = new Map<string, Timer>();
  const generators = createDecodeEngines();
  const watch = createEngineMonitor(clock, log);
  const margin = createLatencyMargin();
  /** Reads of requests that can be on time. */
  const punctualWork = createRecentLoad();
  const generatingLoad = createDecodeLoad();
  const candidates = createCandidates({
    engines: () => parts.engines(),
    monitor: watch,
    limits,
    requestCount: inUse,
  });
  const engines = createEngineStates({
    log,
    latencyModels: paces,
    cacheTokens: () => parts.cacheTokens(),
    caches: mechanisms.cacheLists ? parts.caches : undefined,
    find: (id) => candidates.find(id),
  });
  const options = createPrefillOptions({
    clock,
    latencyModels: paces,
    mechanisms,
    candidates,
    engines,
    decodeEngines: generators,
    limits,
  });

  /** Requests that an engine was given or that wait for it. */
  function inUse(id: string): number {
    return generators.running(id) + engines.requestCount(id);
  }

  function submit(job: Job, decided: (decision: Decision) => void): void {
    const entry = createTrackedJob(job, clock.now(), decided);
    entries.set(job.id, entry);
    if (job.isRead) placeAtGenerator(entry);
    else route(entry);
  }

  /** Part of their time that the engines that read have left beside what is on time. */
  function spareShare(): number {
    if (!mechanisms.spareTime) return 1;
    let reading = 0;
    for (const { role } of parts.engines()) {
      if (role === 'prefill') reading += 1;
    }
    return resolveSpareCapacity(punctualWork.busyEngines(clock.now()), reading);
  }

  function marginMs(job: Job): number {
    return mechanisms.learntMargin
      ? Math.min(margin.marginMs(), MAX_MARGIN_SHARE * job.aimLeftMs)
      : 0;
  }

  /** Finds engines for a request, or declines it. */
  function route(entry: TrackedJob): void {
    const { job } = entry;
    const generating = candidates.list(job, 'decode');
    const restMs = options.estimateHandoffMs(job, generating);
    const byMs = mechanisms.deadlineOrder ? job.aimLeftMs - restMs - marginMs(job) : 0;
    entry.dueAt = entry.submittedAt + byMs;
    const choices = options.list(entry, generating, restMs);
    if (choices.length === 0) {
      declineWithoutEngine(entry);
      return;
    }
    const spentMs = clock.now() - entry.submittedAt;
    const spare = spareShare();
    const admission = resolveAdmission(choices, {
      objectiveLeftMs: job.aimLeftMs - spentMs,
      timeLeftMs: job.timeLeftMs - spentMs,
      marginMs: marginMs(job),
      mayBeLate: job.isReturn || mechanisms.lateFirstAttempts,
      spareCapacity: spare,
    });
    if (admission.kind === 'declined') {
      decline(entry, 'cannot-be-on-time', admission.retryAfterMs, admission.backlogMs);
      return;
    }
    const { option } = admission;
    entry.expectedFirstTokenAt = clock.now() + resolveFirstTokenMs(option);
    if (admission.kind === 'late') {
      makeLate(entry);
      entry.expectedFirstTokenAt = clock.now() + resolveLateFirstTokenMs(option, spare);
    }
    if (option.isLocal) placeDirectly(entry, option.server);
    else enqueue(entry, option.engine);
  }

  function makeLate(entry: TrackedJob): void {
    entry.isLate = true;
    entry.dueAt = entry.submittedAt + entry.job.timeLeftMs;
  }

  function enqueue(entry: TrackedJob, engine: EngineModel): void {
    entry.engine = engine;
    entry.prefillEstimateMs = engine.estimatePrefillMs('prefill', entry.job.prompt);
    engines.queue(engine.id).add(entry);
    if (entry.isLate) expireInTime(entry);
    advance(engine);
  }

  /**
   * A late request is turned away once it could no longer end within its deadline, or has waited much
   * longer than it was expected to: spare time does not come then, and its caller should know.
   */
  function expireInTime(entry: TrackedJob): void {
    const predictedMs = LATE_SAFETY_FACTOR * (entry.expectedFirstTokenAt - clock.now());
    const waitMs = Math.min(latestStartMs(entry), Math.max(0, predictedMs));
    entry.expiryTimer = clock.after(Math.max(0, waitMs), () => {
      if (entry.stage !== 'waiting' || !entries.has(entry.job.id)) return;
      leaveQueue(entry);
      turnAway(entry);
    });
  }

  /** Time until a request has to start to be read, or it cannot end within its deadline. */
  function latestStartMs(entry: TrackedJob): number {
    const leftMs = entry.job.timeLeftMs - (clock.now() - entry.submittedAt);
    return leftMs - LATE_END_FACTOR * entry.prefillMs() - marginMs(entry.job);
  }

  /** Declines a request that waited until it could no longer end within its deadline. */
  function turnAway(entry: TrackedJob): void {
    const backlogMs = entry.engine?.prefills.remainingMs(clock.now()) ?? 0;
    decline(entry, 'cannot-be-on-time', NO_ENGINE_RETRY_MS, backlogMs);
  }

  /** Where limits leave no room, each caller is told another time, so that they don't come back together. */
  function declineWithoutEngine(entry: TrackedJob): void {
    const limited = candidates.findSoonestAvailable(entry.job);
    if (limited === undefined) {
      decline(entry, 'no-engine', NO_ENGINE_RETRY_MS, 0);
      return;
    }
    const leftMs = entry.job.timeLeftMs - (clock.now() - entry.submittedAt);
    const untilRoomMs = Math.max(NO_ENGINE_RETRY_MS, limits.msUntilReturn(limited));
    decline(entry, 'no-engine', resolveRetryAfterMs(leftMs, untilRoomMs), 0);
  }

  function decline(
    entry: TrackedJob,
    reason: DeclineReason,
    retryAfterMs: number,
    backlogMs: number,
  ): void {
    entry.expiryTimer?.cancel();
    entries.delete(entry.job.id);
    entry.onDecision({ kind: 'declined', reason, retryAfterMs, backlogMs });
  }

  /** Starts reads at an engine while it is to get some. */
  function advance(engine: EngineModel): void {
    const queue = engines.queue(engine.id);
    while (hasRoom(engine)) {
      const entry = queue.takePunctual() ?? takeLate(engine, queue);
      if (entry === undefined) return;
      entry.prefillEstimateMs = engine.estimatePrefillMs('prefill', entry.job.prompt);
      if (isTooLate(entry)) postpone(entry, engine);
      else if (candidates.mayPrefill(engine.id, entry.job) || entry.reroutes >= MAX_MOVES)
        startRead(entry, engine);
      else leaveFor(entry);
    }
    if (queue.count() > 0) wakeUp(engine);
  }

  /** What is late starts only at an engine that has nothing to do, since reads are not interrupted. */
  function takeLate(engine: EngineModel, queue: PrefillQueue<TrackedJob>): TrackedJob | undefined {
    return engine.prefills.count() === 0 ? queue.takeLate() : undefined;
  }

  /** Whether an engine is to get another read now. While paces are unknown, one read probes. */
  function hasRoom(engine: EngineModel): boolean {
    if (limits.msUntilRoom(engine.id) > 0) return false;
    if (engine.prefills.count() === 0) return true;
    return paces.hasSamples() && engine.prefills.remainingMs(clock.now()) < MAX_COMMITTED_MS;
  }

  /** Looks again once the present read has nearly ended, and the engine's limit leaves room. */
  function wakeUp(engine: EngineModel): void {
    wakeUps.get(engine.id)?.cancel();
    const untilRoomMs = limits.msUntilRoom(engine.id);
    const untilReadMs = paces.hasSamples()
      ? engine.prefills.remainingMs(clock.now()) - MAX_COMMITTED_MS
      : Number.NEGATIVE_INFINITY;
    const delayMs = Math.max(untilRoomMs, untilReadMs);
    if (delayMs < 0 || (delayMs === 0 && untilReadMs < 0)) return;
    const timer = clock.after(delayMs + 1, () => {
      advance(engine);
    });
    wakeUps.set(engine.id, timer);
  }

  function isTooLate(entry: TrackedJob): boolean {
    if (entry.isLate) return latestStartMs(entry) < 0;
    return clock.now() + entry.prefillMs() > entry.submittedAt + entry.job.aimLeftMs;
  }

  /** What can no longer be on time makes room for what can, or is given up. */
  function postpone(entry: TrackedJob, engine: EngineModel): void {
    if (entry.isLate) {
      turnAway(entry);
      return;
    }
    makeLate(entry);
    const queue = engines.queue(engine.id);
    const aheadMs = engine.prefills.remainingMs(clock.now()) + queue.lateWorkMs();
    entry.expectedFirstTokenAt = clock.now() + aheadMs / spareShare() + entry.prefillMs();
    queue.add(entry);
    expireInTime(entry);
  }

  /** The engine that a request waited for takes nothing any more; another is found. */
  function leaveFor(entry: TrackedJob): void {
    entry.engine = undefined;
    entry.reroutes += 1;
    entry.expiryTimer?.cancel();
    route(entry);
  }

  /** The engine that is to generate; declines the request where there is none. */
  function chooseGenerator(entry: TrackedJob, zone: string): RegisteredServer | undefined {
    const { job } = entry;
    const fit = candidates.list(job, 'decode');
    const generator = generators.choose(fit, zone, job.rank, options.busyMs);
    if (generator === undefined) declineWithoutEngine(entry);
    return generator;
  }

  function startRead(entry: TrackedJob, engine: EngineModel): void {
    const { job } = entry;
    const generator = chooseGenerator(entry, candidates.find(engine.id)?.zone ?? job.zone);
    if (generator === undefined) return;
    entry.stage = 'reading';
    if (!entry.isLate) punctualWork.record(entry.prefillMs(), clock.now());
    engine.startPrefill(job.id, 'prefill', job.prompt, clock.now());
    const isPaceKnown = paces.hasSamples();
    const expectedReadMs = isPaceKnown ? engine.prefills.remainingMs(clock.now()) : undefined;
    place(entry, { reader: engine.id, generator: generator.id, expectedReadMs });
  }

  function placeDirectly(entry: TrackedJob, server: RegisteredServer): void {
    const engine = engines.model(server.id);
    entry.engine = engine;
    entry.stage = 'read-directly';
    engine.startPrefill(entry.job.id, 'decode', entry.job.prompt, clock.now());
    watch.expectFirstToken(entry.job.id, server.id, engine.prefills.remainingMs(clock.now()));
    place(entry, { generator: server.id });
  }

  /** Another engine is to generate from a prompt that was read before. */
  function placeAtGenerator(entry: TrackedJob): void {
    const { job } = entry;
    const generator = chooseGenerator(entry, job.zone);
    if (generator === undefined) return;
    startTransfer(entry, generator.id, false);
    place(entry, { generator: generator.id });
  }

  function startTransfer(entry: TrackedJob, generator: string, isOtherZone: boolean): void {
    const { job } = entry;
    const engine = engines.model(generator);
    entry.engine = engine;
    entry.stage = 'transferred';
    generatingLoad.observeTransfer(
      paces.transfer.estimateMs(resolveTransferWork(job, false)),
      clock.now(),
    );
    engine.startTransfer(job.id, job.prompt, resolveTransferWork(job, isOtherZone), clock.now());
    watch.expectFirstToken(job.id, generator, engine.transfers.remainingMs(clock.now()));
  }

  function place(entry: TrackedJob, placement: EnginePlacement): void {
    const { job } = entry;
    entry.placement = placement;
    entry.placedAt = clock.now();
    if (placement.reader !== undefined) limits.take(placement.reader);
    limits.take(placement.generator);
    entry.expiryTimer?.cancel();
    generators.start(placement.generator, job.rank, job.prompt.tokens);
    noteLoad();
    log.write('requestPlaced', {
      request: job.requestId,
      ...placement,
      tokens: job.prompt.tokens,
      outputTokens: job.prompt.maxOutputTokens,
      isLate: entry.isLate,
      marginMs: Math.round(marginMs(job)),
      predictedMs: Math.round(entry.expectedFirstTokenAt - entry.submittedAt),
      waitedMs: Math.round(clock.now() - entry.submittedAt),
    });
    entry.onDecision({ kind: 'placed', placement });
  }

  function noteLoad(): void {
    let taken = 0;
    for (const engine of parts.engines()) {
      if (engine.role === 'decode') taken += generators.load(engine, parts.cacheTokens());
    }
    generatingLoad.observe(taken, clock.now());
  }

  /**
   * Takes in what became of a request at its engine: the one that reads, or after that the one that
   * generates. An engine that declines a prompt that was read elsewhere may be right, since the
   * reader may have dropped it; so the reader is judged as well.
   */
  function judge({ stage, placement, placedAt }: TrackedJob, outcome: HealthOutcome): void {
    if (placement === undefined) return;
    const { reader, generator } = placement;
    const isReading = stage === 'reading' && reader !== undefined;
    watch.recordOutcome(isReading ? reader : generator, outcome, placedAt);
    const isOnReaderToo = outcome === 'good' || outcome === 'declined';
    if (isReading || reader === undefined || !isOnReaderToo) return;
    watch.recordOutcome(reader, outcome, placedAt);
  }

  function leaveQueue(entry: TrackedJob): void {
    if (entry.engine !== undefined) engines.queue(entry.engine.id).remove(entry);
  }

  /** The engine that works on a request no longer does. */
  function leaveEngine(entry: TrackedJob, isWhole: boolean): void {
    const { engine, stage, job } = entry;
    if (engine === undefined) return;
    const now = clock.now();
    if (stage === 'waiting') leaveQueue(entry);
    if (stage === 'reading' || stage === 'read-directly') engine.endPrefill(job.id, isWhole, now);
    if (stage === 'transferred') engine.endTransfer(job.id, isWhole, now);
    entry.engine = undefined;
    if (stage === 'reading') advance(engine);
  }

  return {
    submit,
    adopt(job, placement) {
      if (entries.has(job.id)) return;
      const entry = createTrackedJob(job, clock.now(), () => undefined);
      entries.set(job.id, { ...entry, stage: 'generating', placement });
      generators.start(placement.generator, job.rank, job.prompt.tokens);
    },
    prefillCompleted(id) {
      const entry = entries.get(id);
      if (entry?.placement?.reader === undefined || entry.stage !== 'reading') return;
      const { reader, generator } = entry.placement;
      watch.recordResponse(reader);
      leaveEngine(entry, true);
      const isOtherZone = candidates.find(reader)?.zone !== candidates.find(generator)?.zone;
      startTransfer(entry, generator, isOtherZone);
    },
    firstTokenReceived(id) {
      watch.firstTokenReceived(id);
      const entry = entries.get(id);
      if (entry === undefined || entry.stage === 'generating') return;
      if (!entry.isLate) margin.observe(clock.now() - entry.expectedFirstTokenAt);
      leaveEngine(entry, true);
      entry.stage = 'generating';
    },
    finished(id, outcome) {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entries.delete(id);
      entry.expiryTimer?.cancel();
      watch.requestEnded(id);
      if (outcome !== undefined) judge(entry, outcome);
      leaveEngine(entry, false);
      if (entry.placement !== undefined)
        generators.end(entry.placement.generator, entry.job.rank, entry.job.prompt.tokens);
    },
    forget(engine) {
      watch.forget(engine);
      if (inUse(engine) > 0) return;
      engines.forget(engine);
      wakeUps.get(engine)?.cancel();
      wakeUps.delete(engine);
    },
    peakDecodeLoad: () => (mechanisms.demandSplit ? generatingLoad.peak(clock.now()) : undefined),
    size: () => entries.size,
  };
}

/** How many times the expected read must fit before the deadline of a request that is late. */
const LATE_END_FACTOR = 2;
