/**
 * Lists the engines that could prefill a prompt, with the estimates that admission needs: prefill
 * engines, and decode engines whose running streams would not stall for too long (local prefill).
 */
import type { SendLimits } from '../backpressure/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { Clock } from '../task/index.js';
import type { PrefillEstimate } from './admission.js';
import type { Candidates } from './candidates.js';
import type { EngineModel } from './engine-model.js';
import type { TrackedJob } from './tracked-job.js';
import type { DecodeEngines } from './decode-engines.js';
import { resolvePlaceRank, type Job } from './job.js';
import type { EngineStates } from './engine-states.js';
import type { Work } from './latency-model.js';
import type { LatencyModels } from './latency-models.js';
import { OTHER_ZONE_PENALTY_MS, STALL_SHARE, type SchedulingMechanisms } from './policy.js';

/** Penalty per assigned prefill while there are no latency samples, in ms. It has to exceed the zone
 * penalty, so that the first prefills are spread over all engines. */
const PROBE_PENALTY_MS = 10 * OTHER_ZONE_PENALTY_MS;
/** How much slower a KV cache transfer is between availability zones, by the engines' specification. */
const OTHER_ZONE_TRANSFER_FACTOR = 2;

/** An engine that could prefill a prompt. */
export interface PrefillOption extends PrefillEstimate {
  server: RegisteredServer;
  engine: EngineModel;
  /** The decode engine does the prefill itself. */
  isLocal: boolean;
}

/** Dependencies of the options. */
export interface PrefillOptionsParts {
  clock: Clock;
  latencyModels: LatencyModels;
  mechanisms: SchedulingMechanisms;
  candidates: Candidates;
  engineStates: EngineStates;
  decodeEngines: DecodeEngines;
  limits: SendLimits;
}

/** What follows a request's prefill. */
export interface Handoff {
  /** Decode engines that the request may use. */
  engines: readonly RegisteredServer[];
  /** From the end of the prefill to the first event at the least busy of them, in milliseconds. */
  delayMs: number;
}

/** Options for prefills. */
export interface PrefillOptions {
  /**
   * Lists the engines that could prefill a request's prompt.
   *
   * @param tracked the request
   * @param handoff what follows its prefill
   */
  list(tracked: TrackedJob, handoff: Handoff): PrefillOption[];
  /** Time until an engine has finished its prefills and transfers, in milliseconds. */
  busyMs: (id: string) => number;
  /** Estimates what follows a request's prefill. */
  estimateHandoff: (job: Job) => Handoff;
}

/**
 * Creates the options.
 *
 * @param parts the engines with their estimates
 */
export function createPrefillOptions(parts: PrefillOptionsParts): PrefillOptions {
  const { clock, latencyModels, mechanisms, candidates, engineStates, decodeEngines, limits } =
    parts;

  function list(tracked: TrackedJob, { engines, delayMs }: Handoff): PrefillOption[] {
    const { job } = tracked;
    const options: PrefillOption[] = [];
    for (const server of candidates.list(job, 'prefill')) {
      if (engines.length > 0) options.push(estimateRemote(tracked, server, delayMs));
    }
    const mayPrefillLocally = mechanisms.directReads && latencyModels.hasSamples();
    if (!mayPrefillLocally && options.length > 0) return options;
    for (const server of engines) {
      if (decodeEngines.isFull(server, resolvePlaceRank(job))) continue;
      const option = estimateLocal(tracked, server);
      if (!wouldStallStreams(option, job)) options.push(option);
    }
    return options;
  }

  function estimateRemote(
    tracked: TrackedJob,
    server: RegisteredServer,
    handoffMs: number,
  ): PrefillOption {
    const engine = engineStates.model(server.id);
    const queue = engineStates.queue(server.id);
    const startsInMs = engine.prefills.remainingMs(clock.now());
    const prefillMs = engine.estimatePrefillMs('prefill', tracked.job.prompt);
    const newcomer = { ...tracked, isLate: false, prefillMs: () => prefillMs };
    const zonePenaltyMs = server.zone === tracked.job.zone ? 0 : OTHER_ZONE_PENALTY_MS;
    const untilRoomMs = limits.msUntilRoom(server.id, queue.count());
    // without samples the estimates are 0, so the number of prefills stands in for their duration
    const probePenaltyMs = latencyModels.hasSamples()
      ? 0
      : PROBE_PENALTY_MS * (engine.prefills.count() + queue.count());
    return {
      server,
      engine,
      isLocal: false,
      queueDelayMs: Math.max(untilRoomMs, startsInMs + queue.workAheadMs(newcomer)),
      prefillMs,
      scoredPrefillMs: mechanisms.cacheAffinity ? prefillMs : 0,
      handoffMs,
      penaltyMs: zonePenaltyMs + probePenaltyMs,
      delaysOthers: queue.wouldDelay(newcomer, startsInMs, clock.now()),
      lateBacklogMs: queue.lateWorkMs(),
    };
  }

  function estimateLocal({ job }: TrackedJob, server: RegisteredServer): PrefillOption {
    const engine = engineStates.model(server.id);
    const prefillMs = engine.estimatePrefillMs('decode', job.prompt);
    return {
      server,
      engine,
      isLocal: true,
      queueDelayMs: engine.prefills.remainingMs(clock.now()),
      prefillMs,
      scoredPrefillMs: mechanisms.cacheAffinity ? prefillMs : 0,
      handoffMs: 0,
      penaltyMs: server.zone === job.zone ? 0 : OTHER_ZONE_PENALTY_MS,
      delaysOthers: false,
      lateBacklogMs: 0,
    };
  }

  /**
   * Whether a local prefill would violate the inter-token latency objective of the engine's running
   * streams. The prefill is chunked into their decode steps, and one event may contain many tokens,
   * so that its delay can be as long as the whole prefill.
   */
  function wouldStallStreams(
    { server, engine, prefillMs }: PrefillOption,
    { pauseMs }: Job,
  ): boolean {
    if (decodeEngines.running(server.id) === 0) return false;
    return engine.recentLocalPrefillMs(clock.now(), pauseMs) + prefillMs > STALL_SHARE * pauseMs;
  }

  function busyMs(id: string): number {
    const engine = engineStates.model(id);
    const now = clock.now();
    return engine.prefills.remainingMs(now) + engine.transfers.remainingMs(now);
  }

  function estimateHandoff(job: Job): Handoff {
    const engines = candidates.list(job, 'decode');
    const transferMs = latencyModels.transfer.estimateMs(resolveTransferWork(job, false));
    let leastMs = Number.POSITIVE_INFINITY;
    for (const { id } of engines) {
      leastMs = Math.min(leastMs, busyMs(id));
    }
    return { engines, delayMs: Number.isFinite(leastMs) ? leastMs + transferMs : transferMs };
  }

  return { list, busyMs, estimateHandoff };
}

/** The work of transferring a prompt's KV cache to the decode engine. */
export function resolveTransferWork({ prompt }: Job, isOtherZone: boolean): Work {
  return { tokens: prompt.tokens * (isOtherZone ? OTHER_ZONE_TRANSFER_FACTOR : 1), pairs: 0 };
}
