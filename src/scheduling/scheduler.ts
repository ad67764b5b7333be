/**
 * Places the requests of one service on its engines. One scheduler sees all requests of a service, so
 * it models the work of each engine, holds the queues, and sheds requests that cannot be served in
 * time. Long prompts whose size is served less often than others have a turn reserved
 * (`size-shares.ts`).
 *
 * A prompt is prefilled by a prefill engine, or by the decode engine if that is better
 * (`admission.ts`). The decode engine is chosen when the prefill starts. All state is soft: a new
 * scheduler rebuilds it from the requests that follow.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { EventFields, Log } from '../events/index.js';
import type { HealthOutcome, RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock, Timer } from '../task/index.js';
import {
  resolveAdmission,
  resolvePriorAdmission,
  resolveLateFirstTokenMs,
  resolveFirstTokenMs,
  resolveReservation,
  resolveRetryAfterMs,
  type AdmissionTerms,
} from './admission.js';
import type { CacheInventory } from './cached-parts.js';
import { createCallerPatience } from './caller-patience.js';
import { createCandidates } from './candidates.js';
import type { EngineModel } from './engine-model.js';
import { createEngineMonitor } from './engine-monitor.js';
import { createTrackedJob, type TrackedJob } from './tracked-job.js';
import { createDecodeEngines } from './decode-engines.js';
import { createDecodeLoad } from './decode-load.js';
import {
  isBound,
  resolvePlaceRank,
  type Decision,
  type DeclineReason,
  type EnginePlacement,
  type Job,
} from './job.js';
import { createPlaceQueue } from './place-queue.js';
import { describeCensus, resolveMainRefusal, takeEngineCensus } from './engine-census.js';
import { createEngineStates } from './engine-states.js';
import { createLatencyMargin } from './latency-margin.js';
import { describeEstimate, describeJob } from './log-fields.js';
import {
  createPrefillOptions,
  resolveTransferWork,
  type Handoff,
  type PrefillOption,
} from './prefill-options.js';
import type { LatencyModels } from './latency-models.js';
import {
  COMMITTED_MS,
  LATE_SAFETY_FACTOR,
  MAX_MARGIN_SHARE,
  RESERVED_OBJECTIVE_SHARE,
  type SchedulingMechanisms,
} from './policy.js';
import type { PrefillQueue } from './prefill-queue.js';
import { createRecentLoad, resolveSpareCapacity } from './recent-load.js';
import { createSizeShares, type SizedRequest } from './size-shares.js';

/** Dependencies of a scheduler. */
export interface SchedulerParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'engineRefusals'>;
  mechanisms: SchedulingMechanisms;
  /** Latency models of the service's engines. */
  latencyModels: LatencyModels;
  /** Engines of the service that accept requests now. */
  engines(): readonly RegisteredServer[];
  /** Capacity of one engine's cache in tokens. */
  cacheTokens(): number;
  caches: CacheInventory;
  /** Rate limits that engines have asked for. */
  limits: SendLimits;
}

/** Places the requests of one service. */
export interface Scheduler {
  /** Requests engines; `onDecision` is called once, synchronously or when an engine is free. */
  submit(job: Job, onDecision: (decision: Decision) => void): void;
  /** Takes over a request that was placed by a scheduler that is lost. */
  adopt(job: Job, placement: EnginePlacement): void;
  prefillCompleted(job: string): void;
  firstTokenReceived(job: string): void;
  /**
   * Ends a request, with or without an answer; one that waits is removed from its queue.
   *
   * @param outcome outcome at the last engine, if it is relevant to that engine's health
   */
  finished(job: string, outcome?: HealthOutcome): void;
  /** Removes an engine that will not return. */
  forget(engine: string): void;
  /** Decaying peak of the decode load, in engines; `undefined` while there are too few observations. */
  peakDecodeLoad(): number | undefined;
  /** Requests that were submitted and have not ended. */
  size(): number;
}

/** How often a waiting request is rerouted because its engine became unavailable; after that it is
 * sent to its engine anyway, which bounds the loop when all engines are unhealthy. */
const MAX_REROUTES = 5;
/** Interval at which requests that wait for a place are tried again, in ms. */
const PLACE_CHECK_MS = 100;
/** Retry-After when no engine accepts requests, in ms. */
const NO_ENGINE_RETRY_MS = 200;

/**
 * Creates a scheduler without requests.
 *
 * @param parts the engines with their latency models and limits
 */
export function createScheduler(parts: SchedulerParts): Scheduler {
  const { clock, log, latencyModels, mechanisms, metrics, limits } = parts;
  const jobs = new Map<string, TrackedJob>();
  /** By engine, the timer that starts the next prefill shortly before the current one ends. */
  const prefillTimers = new Map<string, Timer>();
  const decodeEngines = createDecodeEngines();
  const monitor = createEngineMonitor(clock, log);
  const margin = createLatencyMargin();
  /** Prefills of requests that can meet their objective. */
  const punctualLoad = createRecentLoad();
  const decodeLoad = createDecodeLoad();
  const sizeShares = createSizeShares();
  const patience = createCallerPatience();
  const placeQueue = createPlaceQueue<TrackedJob>();
  let placeCheck: Timer | undefined;
  const candidates = createCandidates({
    engines: () => parts.engines(),
    monitor,
    limits,
    requestCount,
  });
  const engineStates = createEngineStates({
    log,
    latencyModels,
    cacheTokens: () => parts.cacheTokens(),
    caches: mechanisms.cacheLists ? parts.caches : undefined,
    find: (id) => candidates.find(id),
  });
  const options = createPrefillOptions({
    clock,
    latencyModels,
    mechanisms,
    candidates,
    engineStates,
    decodeEngines,
    limits,
  });

  /** Requests that run on an engine or wait for it. */
  function requestCount(id: string): number {
    return decodeEngines.running(id) + engineStates.requestCount(id);
  }

  function submit(submitted: Job, onDecision: (decision: Decision) => void): void {
    const job = { ...submitted, timeLeftMs: resolveTimeLeftMs(submitted) };
    const tracked = createTrackedJob(job, clock.now(), onDecision);
    jobs.set(job.id, tracked);
    sizeShares.submitted(resolveSizedRequest(job), clock.now() + job.timeLeftMs, clock.now());
    if (job.isRead) placeForDecode(tracked);
    else route(tracked);
  }

  /** Time until a request's deadline, or until its caller is likely to leave without a first event. */
  function resolveTimeLeftMs({ rank, timeLeftMs, elapsedMs, aimLeftMs }: Job): number {
    const patienceLeftMs = patience.limitMs(rank, clock.now()) - elapsedMs;
    // callers that leave before the objective are no reason to refuse the others
    return patienceLeftMs < aimLeftMs ? timeLeftMs : Math.min(timeLeftMs, patienceLeftMs);
  }

  /** Time since a request arrived at its gateway, in milliseconds. */
  function waitedMs({ job, submittedAt }: TrackedJob): number {
    return job.elapsedMs + clock.now() - submittedAt;
  }

  /** Share of the prefill engines' time that requests within their objective leave. */
  function spareCapacity(): number {
    if (!mechanisms.spareTime) return 1;
    let prefillEngines = 0;
    for (const { role } of parts.engines()) {
      if (role === 'prefill') prefillEngines += 1;
    }
    return resolveSpareCapacity(punctualLoad.busyEngines(clock.now()), prefillEngines);
  }

  function marginMs(job: Job): number {
    return mechanisms.learntMargin
      ? Math.min(margin.marginMs(), MAX_MARGIN_SHARE * job.aimLeftMs)
      : 0;
  }

  /** Places or queues a request, or declines it. */
  function route(tracked: TrackedJob): void {
    const { job } = tracked;
    const handoff = options.estimateHandoff(job);
    const prefillDueMs = mechanisms.deadlineOrder
      ? job.aimLeftMs - handoff.delayMs - marginMs(job)
      : 0;
    tracked.dueAt = tracked.submittedAt + prefillDueMs;
    const prefillOptions = options.list(tracked, handoff);
    if (prefillOptions.length === 0) {
      declineWithoutEngine(tracked);
      return;
    }
    const elapsedMs = clock.now() - tracked.submittedAt;
    const spare = spareCapacity();
    const terms: AdmissionTerms = {
      objectiveLeftMs: job.aimLeftMs - elapsedMs,
      timeLeftMs: job.timeLeftMs - elapsedMs,
      marginMs: marginMs(job),
      mayBeLate: job.isReturn || mechanisms.lateFirstAttempts,
      spareCapacity: spare,
    };
    const admit = isBound(job) ? resolvePriorAdmission : resolveAdmission;
    const admission = admit(prefillOptions, terms);
    if (admission.kind !== 'punctual') {
      const prefillMs = admission.option?.prefillMs ?? 0;
      sizeShares.estimated(resolveSizedRequest(job), prefillMs, clock.now());
      const isReservable = terms.mayBeLate && isSizeBehind(job, prefillMs);
      if (isReservable && reserve(tracked, terms, handoff)) return;
    }
    if (admission.kind === 'declined') {
      const { retryAfterMs, backlogMs, option } = admission;
      decline(tracked, 'cannot-be-on-time', retryAfterMs, backlogMs, {
        ...describeEstimate(option, terms),
        isSizeBehind: isSizeBehind(job, option?.prefillMs ?? 0),
      });
      return;
    }
    const { option } = admission;
    recordAdmission(tracked);
    tracked.expectedFirstTokenAt = clock.now() + resolveFirstTokenMs(option);
    if (admission.kind === 'late') {
      markLate(tracked);
      tracked.expectedFirstTokenAt = clock.now() + resolveLateFirstTokenMs(option, spare);
      logQueued(tracked, option, terms);
    }
    if (option.isLocal) placeLocally(tracked, option.server);
    else enqueue(tracked, option.engine);
  }

  /** Whether a request that cannot meet its objective should have a turn reserved. */
  function isSizeBehind(job: Job, prefillMs: number): boolean {
    const now = clock.now();
    return mechanisms.sizeShares && sizeShares.isBehind(resolveSizedRequest(job), prefillMs, now);
  }

  /**
   * Queues a request for a later objective, if an engine can meet that. Until then it has its turn like
   * others at their objectives; no later request takes it.
   */
  function reserve(tracked: TrackedJob, terms: AdmissionTerms, handoff: Handoff): boolean {
    const now = clock.now();
    const objectiveLeftMs = RESERVED_OBJECTIVE_SHARE * terms.timeLeftMs;
    const dueAt = now + objectiveLeftMs - handoff.delayMs - terms.marginMs;
    const later = options.list({ ...tracked, dueAt }, handoff);
    const option = resolveReservation(
      later.filter(({ isLocal }) => !isLocal),
      { ...terms, objectiveLeftMs },
    );
    if (option === undefined) return false;
    tracked.dueAt = dueAt;
    tracked.objectiveMs = now + objectiveLeftMs - tracked.submittedAt;
    tracked.isReserved = true;
    recordAdmission(tracked);
    tracked.expectedFirstTokenAt = now + resolveFirstTokenMs(option);
    logQueued(tracked, option, terms);
    enqueue(tracked, option.engine);
    return true;
  }

  /** Logs that a request waits although it will miss its own objective. */
  function logQueued(tracked: TrackedJob, option: PrefillOption, terms: AdmissionTerms): void {
    log.write('requestQueued', {
      ...describeJob(tracked.job),
      ...describeEstimate(option, terms),
      isReserved: tracked.isReserved,
      predictedMs: Math.round(tracked.expectedFirstTokenAt - tracked.submittedAt),
    });
  }

  function recordAdmission(tracked: TrackedJob): void {
    if (tracked.isAdmitted) return;
    tracked.isAdmitted = true;
    sizeShares.admitted(resolveSizedRequest(tracked.job), clock.now());
  }

  /** Takes the admission of a request back that ended without a first token. */
  function withdrawAdmission(tracked: TrackedJob): void {
    if (!tracked.isAdmitted || tracked.stage === 'generating') return;
    tracked.isAdmitted = false;
    sizeShares.withdrawn(resolveSizedRequest(tracked.job), clock.now());
  }

  function markLate(tracked: TrackedJob): void {
    tracked.isLate = true;
    tracked.dueAt = tracked.submittedAt + tracked.job.timeLeftMs;
  }

  function enqueue(tracked: TrackedJob, engine: EngineModel): void {
    tracked.engine = engine;
    tracked.prefillEstimateMs = engine.estimatePrefillMs('prefill', tracked.job.prompt);
    engineStates.queue(engine.id).add(tracked);
    if (tracked.isLate) scheduleExpiry(tracked);
    startPrefills(engine);
  }

  /**
   * Declines a late request once it can no longer meet its deadline, or has waited much longer than
   * estimated, so that its caller is not kept waiting for capacity that does not become available.
   */
  function scheduleExpiry(tracked: TrackedJob): void {
    const maxWaitMs = LATE_SAFETY_FACTOR * (tracked.expectedFirstTokenAt - clock.now());
    const waitMs = Math.min(msUntilLatestStart(tracked), Math.max(0, maxWaitMs));
    tracked.expiryTimer = clock.after(Math.max(0, waitMs), () => {
      if (tracked.stage !== 'waiting' || !jobs.has(tracked.job.id)) return;
      leaveQueue(tracked);
      declineExpired(tracked);
    });
  }

  /** Time until the prefill has to start for the request to meet its deadline. */
  function msUntilLatestStart(tracked: TrackedJob): number {
    const leftMs = tracked.job.timeLeftMs - (clock.now() - tracked.submittedAt);
    return leftMs - DEADLINE_PREFILL_FACTOR * tracked.prefillMs() - marginMs(tracked.job);
  }

  function declineExpired(tracked: TrackedJob): void {
    const backlogMs = tracked.engine?.prefills.remainingMs(clock.now()) ?? 0;
    decline(tracked, 'cannot-be-on-time', NO_ENGINE_RETRY_MS, backlogMs, {
      server: tracked.engine?.id,
      prefillMs: Math.round(tracked.prefillMs()),
      predictedMs: Math.round(tracked.expectedFirstTokenAt - tracked.submittedAt),
    });
  }

  /** Declines with a Retry-After; with rate limits, each caller gets a different one. */
  function declineWithoutEngine(tracked: TrackedJob): void {
    const limited = candidates.findSoonestAvailable(tracked.job);
    if (limited === undefined) {
      decline(tracked, 'no-engine', NO_ENGINE_RETRY_MS, 0, describeEngines(tracked.job));
      return;
    }
    const leftMs = tracked.job.timeLeftMs - (clock.now() - tracked.submittedAt);
    const untilRoomMs = Math.max(NO_ENGINE_RETRY_MS, limits.nextRetryAfterMs(limited));
    const retryAfterMs = resolveRetryAfterMs(leftMs, untilRoomMs);
    decline(tracked, 'no-engine', retryAfterMs, 0, describeEngines(tracked.job));
  }

  /** Counts why a request gets no engine. */
  function describeEngines(job: Job): EventFields {
    const census = takeEngineCensus({ ...parts, monitor, decodeEngines, requestCount }, job);
    metrics.engineRefusals.inc({
      bound: String(job.version !== undefined),
      reason: resolveMainRefusal(census),
    });
    return describeCensus(census, job);
  }

  function decline(
    tracked: TrackedJob,
    reason: DeclineReason,
    retryAfterMs: number,
    backlogMs: number,
    estimate: EventFields = {},
  ): void {
    tracked.expiryTimer?.cancel();
    jobs.delete(tracked.job.id);
    withdrawAdmission(tracked);
    log.write('requestDeclined', {
      ...describeJob(tracked.job),
      ...estimate,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      waitedMs: Math.round(clock.now() - tracked.submittedAt),
    });
    tracked.onDecision({ kind: 'declined', reason, retryAfterMs, backlogMs });
  }

  /** Starts queued prefills while the engine can take more. */
  function startPrefills(engine: EngineModel): void {
    const queue = engineStates.queue(engine.id);
    while (hasRoom(engine)) {
      const tracked = queue.takePunctual() ?? takeLate(engine, queue);
      if (tracked === undefined) return;
      tracked.prefillEstimateMs = engine.estimatePrefillMs('prefill', tracked.job.prompt);
      if (isTooLate(tracked)) postpone(tracked, engine);
      else if (candidates.mayPrefill(engine.id, tracked.job) || tracked.reroutes >= MAX_REROUTES)
        startPrefill(tracked, engine);
      else reroute(tracked);
    }
    if (queue.count() > 0) scheduleNextPrefill(engine);
  }

  /** Late requests start only on an idle engine, since prefills are not interrupted. */
  function takeLate(engine: EngineModel, queue: PrefillQueue<TrackedJob>): TrackedJob | undefined {
    return engine.prefills.count() === 0 ? queue.takeLate() : undefined;
  }

  /** Whether an engine can take another prefill; without latency samples, one at a time. */
  function hasRoom(engine: EngineModel): boolean {
    if (limits.msUntilRoom(engine.id) > 0) return false;
    if (engine.prefills.count() === 0) return true;
    return latencyModels.hasSamples() && engine.prefills.remainingMs(clock.now()) < COMMITTED_MS;
  }

  /** Starts prefills again when the current one has nearly ended and the rate limit leaves room. */
  function scheduleNextPrefill(engine: EngineModel): void {
    prefillTimers.get(engine.id)?.cancel();
    const untilRoomMs = limits.msUntilRoom(engine.id);
    const untilPrefillEndMs = latencyModels.hasSamples()
      ? engine.prefills.remainingMs(clock.now()) - COMMITTED_MS
      : Number.NEGATIVE_INFINITY;
    const delayMs = Math.max(untilRoomMs, untilPrefillEndMs);
    if (delayMs < 0 || (delayMs === 0 && untilPrefillEndMs < 0)) return;
    const timer = clock.after(delayMs + 1, () => {
      startPrefills(engine);
    });
    prefillTimers.set(engine.id, timer);
  }

  function isTooLate(tracked: TrackedJob): boolean {
    if (tracked.isLate) return msUntilLatestStart(tracked) < 0;
    return clock.now() + tracked.prefillMs() > tracked.submittedAt + tracked.objectiveMs;
  }

  /** Queues a request that misses its objective as late, and declines one that misses its deadline. */
  function postpone(tracked: TrackedJob, engine: EngineModel): void {
    if (tracked.isLate) {
      declineExpired(tracked);
      return;
    }
    markLate(tracked);
    const queue = engineStates.queue(engine.id);
    const workAheadMs = engine.prefills.remainingMs(clock.now()) + queue.lateWorkMs();
    tracked.expectedFirstTokenAt =
      clock.now() + workAheadMs / spareCapacity() + tracked.prefillMs();
    queue.add(tracked);
    scheduleExpiry(tracked);
  }

  /** Routes a request again whose engine became unavailable while it waited. */
  function reroute(tracked: TrackedJob): void {
    tracked.engine = undefined;
    tracked.reroutes += 1;
    tracked.expiryTimer?.cancel();
    route(tracked);
  }

  /** Chooses the decode engine; declines the request if there is none. */
  function chooseDecodeEngine(tracked: TrackedJob, zone: string): RegisteredServer | undefined {
    const { job } = tracked;
    const decodeCandidates = candidates.list(job, 'decode');
    const chosen = findPlace(decodeCandidates, job, zone);
    if (chosen !== undefined) return chosen;
    if (isBound(job) && decodeCandidates.length > 0) awaitPlace(tracked);
    else declineWithoutEngine(tracked);
    return undefined;
  }

  function findPlace(
    engines: readonly RegisteredServer[],
    job: Job,
    zone: string,
  ): RegisteredServer | undefined {
    return decodeEngines.choose(engines, zone, resolvePlaceRank(job), options.busyMs);
  }

  /** A bound request waits for a place at a decode engine while it can still meet its deadline. */
  function awaitPlace(tracked: TrackedJob): void {
    tracked.engine = undefined;
    tracked.expiryTimer?.cancel();
    placeQueue.add(tracked);
    schedulePlaceCheck();
    log.write('placeAwaited', {
      ...describeJob(tracked.job),
      version: tracked.job.version,
      waitedMs: Math.round(waitedMs(tracked)),
    });
    tracked.expiryTimer = clock.after(Math.max(0, msUntilLatestStart(tracked)), () => {
      if (placeQueue.remove(tracked)) declineWithoutEngine(tracked);
    });
  }

  function hasPlace({ job }: TrackedJob): boolean {
    return findPlace(candidates.list(job, 'decode'), job, job.zone) !== undefined;
  }

  /** A place at a decode engine may be free: requests that wait for one are placed before any that comes later. */
  function placeFreed(): void {
    // each is tried once: one that finds no prefill engine waits again
    for (let tries = placeQueue.size(); tries > 0; tries -= 1) {
      const next = placeQueue.takeNext(hasPlace);
      if (next === undefined) return;
      next.expiryTimer?.cancel();
      if (next.job.isRead) placeForDecode(next);
      else route(next);
    }
  }

  /** Places also come with engines that change their role, start or end a pause, which nothing announces. */
  function schedulePlaceCheck(): void {
    if (placeCheck !== undefined || placeQueue.size() === 0) return;
    placeCheck = clock.after(PLACE_CHECK_MS, () => {
      placeCheck = undefined;
      placeFreed();
      schedulePlaceCheck();
    });
  }

  function startPrefill(tracked: TrackedJob, engine: EngineModel): void {
    const { job } = tracked;
    const decodeEngine = chooseDecodeEngine(tracked, candidates.find(engine.id)?.zone ?? job.zone);
    if (decodeEngine === undefined) return;
    tracked.stage = 'reading';
    if (!tracked.isLate) punctualLoad.record(tracked.prefillMs(), clock.now());
    engine.startPrefill(job.id, 'prefill', job.prompt, clock.now());
    const expectedReadMs = latencyModels.hasSamples() ? engine.uncachedPrefillsMs() : undefined;
    place(tracked, { reader: engine.id, generator: decodeEngine.id, expectedReadMs });
  }

  function placeLocally(tracked: TrackedJob, server: RegisteredServer): void {
    const engine = engineStates.model(server.id);
    tracked.engine = engine;
    tracked.stage = 'read-directly';
    engine.startPrefill(tracked.job.id, 'decode', tracked.job.prompt, clock.now());
    monitor.expectFirstToken(tracked.job.id, server.id, engine.prefills.remainingMs(clock.now()));
    place(tracked, { generator: server.id });
  }

  /** Places a request whose prefill is complete on a decode engine. */
  function placeForDecode(tracked: TrackedJob): void {
    const { job } = tracked;
    const decodeEngine = chooseDecodeEngine(tracked, job.zone);
    if (decodeEngine === undefined) return;
    recordAdmission(tracked);
    startTransfer(tracked, decodeEngine.id, false);
    place(tracked, { generator: decodeEngine.id });
  }

  function startTransfer(tracked: TrackedJob, decodeEngine: string, isOtherZone: boolean): void {
    const { job } = tracked;
    const engine = engineStates.model(decodeEngine);
    tracked.engine = engine;
    tracked.stage = 'transferred';
    decodeLoad.observeTransfer(
      latencyModels.transfer.estimateMs(resolveTransferWork(job, false)),
      clock.now(),
    );
    engine.startTransfer(job.id, job.prompt, resolveTransferWork(job, isOtherZone), clock.now());
    monitor.expectFirstToken(job.id, decodeEngine, engine.transfers.remainingMs(clock.now()));
  }

  function place(tracked: TrackedJob, placement: EnginePlacement): void {
    const { job } = tracked;
    tracked.placement = placement;
    tracked.placedAt = clock.now();
    if (placement.reader !== undefined) limits.take(placement.reader);
    limits.take(placement.generator);
    tracked.expiryTimer?.cancel();
    decodeEngines.start(placement.generator, resolvePlaceRank(job), job.prompt.tokens);
    observeDecodeLoad();
    log.write('requestPlaced', {
      ...describeJob(job),
      ...placement,
      outputTokens: job.prompt.maxOutputTokens,
      isLate: tracked.isLate,
      isReserved: tracked.isReserved,
      marginMs: Math.round(marginMs(job)),
      predictedMs: Math.round(tracked.expectedFirstTokenAt - tracked.submittedAt),
      waitedMs: Math.round(clock.now() - tracked.submittedAt),
    });
    tracked.onDecision({ kind: 'placed', placement });
  }

  function observeDecodeLoad(): void {
    let utilization = 0;
    for (const engine of parts.engines()) {
      if (engine.role === 'decode') utilization += decodeEngines.load(engine, parts.cacheTokens());
    }
    decodeLoad.observe(utilization, clock.now());
  }

  /**
   * Records the outcome for the engine that had the request: the prefill engine, or after the handoff
   * the decode engine. A decode engine may decline because the prefill engine has dropped the prompt,
   * so a decline is recorded for the prefill engine too.
   */
  function recordOutcome({ stage, placement, placedAt }: TrackedJob, outcome: HealthOutcome): void {
    if (placement === undefined) return;
    const { reader, generator } = placement;
    const isPrefilling = stage === 'reading' && reader !== undefined;
    monitor.recordOutcome(isPrefilling ? reader : generator, outcome, placedAt);
    const concernsPrefill = outcome === 'good' || outcome === 'declined';
    if (isPrefilling || reader === undefined || !concernsPrefill) return;
    monitor.recordOutcome(reader, outcome, placedAt);
  }

  function leaveQueue(tracked: TrackedJob): void {
    if (tracked.engine !== undefined) engineStates.queue(tracked.engine.id).remove(tracked);
  }

  /** Removes a request from its current engine, or from the queue of that engine. */
  function leaveEngine(tracked: TrackedJob, isComplete: boolean): void {
    const { engine, stage, job } = tracked;
    if (engine === undefined) return;
    const now = clock.now();
    if (stage === 'waiting') leaveQueue(tracked);
    if (stage === 'reading' || stage === 'read-directly')
      engine.endPrefill(job.id, isComplete, now);
    if (stage === 'transferred') engine.endTransfer(job.id, isComplete, now);
    tracked.engine = undefined;
    if (stage === 'reading') startPrefills(engine);
  }

  return {
    submit,
    adopt(job, placement) {
      if (jobs.has(job.id)) return;
      const tracked = createTrackedJob(job, clock.now(), () => undefined);
      jobs.set(job.id, { ...tracked, stage: 'generating', placement });
      decodeEngines.start(placement.generator, resolvePlaceRank(job), job.prompt.tokens);
    },
    prefillCompleted(id) {
      const tracked = jobs.get(id);
      if (tracked?.placement?.reader === undefined || tracked.stage !== 'reading') return;
      const { reader, generator } = tracked.placement;
      monitor.recordResponse(reader);
      leaveEngine(tracked, true);
      const isOtherZone = candidates.find(reader)?.zone !== candidates.find(generator)?.zone;
      startTransfer(tracked, generator, isOtherZone);
    },
    firstTokenReceived(id) {
      monitor.firstTokenReceived(id);
      const tracked = jobs.get(id);
      if (tracked === undefined || tracked.stage === 'generating') return;
      // a reservation uses the time that others leave until its objective
      if (!tracked.isLate && !tracked.isReserved)
        margin.observe(clock.now() - tracked.expectedFirstTokenAt);
      patience.stayed(tracked.job.rank, waitedMs(tracked), clock.now());
      leaveEngine(tracked, true);
      tracked.stage = 'generating';
    },
    finished(id, outcome) {
      const tracked = jobs.get(id);
      if (tracked === undefined) return;
      jobs.delete(id);
      tracked.expiryTimer?.cancel();
      withdrawAdmission(tracked);
      if (outcome === undefined && tracked.stage !== 'generating')
        patience.left(tracked.job.rank, waitedMs(tracked), clock.now());
      monitor.requestEnded(id);
      if (outcome !== undefined) recordOutcome(tracked, outcome);
      placeQueue.remove(tracked);
      leaveEngine(tracked, false);
      if (tracked.placement === undefined) return;
      const { job, placement } = tracked;
      decodeEngines.end(placement.generator, resolvePlaceRank(job), job.prompt.tokens);
      placeFreed();
    },
    forget(engine) {
      monitor.forget(engine);
      if (requestCount(engine) > 0) return;
      engineStates.forget(engine);
      prefillTimers.get(engine)?.cancel();
      prefillTimers.delete(engine);
    },
    peakDecodeLoad: () => (mechanisms.demandSplit ? decodeLoad.peak(clock.now()) : undefined),
    size: () => jobs.size,
  };
}

/** A request as it is counted by size; the last part of a prompt is the request's own. */
function resolveSizedRequest({ id, rank, prompt }: Job): SizedRequest {
  return { key: prompt.parts.at(-1)?.id ?? id, rank, tokens: prompt.tokens };
}

/** A late request's deadline has to allow this multiple of the estimated prefill time. */
const DEADLINE_PREFILL_FACTOR = 2;
