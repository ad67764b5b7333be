/**
 * Where a prompt could be read, and what that would mean: by each engine that reads for others, and by
 * each that generates, where those that generate there already do not pause for too long.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { Clock } from '../task/index.js';
import type { PrefillEstimate } from './admission.js';
import type { Candidates } from './candidates.js';
import type { EngineModel } from './engine-model.js';
import type { TrackedJob } from './tracked-job.js';
import type { DecodeEngines } from './decode-engines.js';
import type { Job } from './job.js';
import type { EngineStates } from './engine-states.js';
import type { Work } from './latency-model.js';
import type { LatencyModels } from './latency-models.js';
import { OTHER_ZONE_PENALTY_MS, MAX_STALL_SHARE, type SchedulingMechanisms } from './policy.js';

/** What each read that an engine was given weighs while nothing is known of its pace, in ms: it only
 * has to be more than the distance, so that first reads are spread. */
const PROBE_MS = 10 * OTHER_ZONE_PENALTY_MS;
/** How many times as long a KV cache takes to another availability zone, as engines are described. */
const OTHER_ZONE_FACTOR = 2;

/** An engine at which a prompt could be read. */
export interface PrefillOption extends PrefillEstimate {
  server: RegisteredServer;
  engine: EngineModel;
  isLocal: boolean;
}

/** What listing options goes by. */
export interface PrefillOptionsParts {
  clock: Clock;
  latencyModels: LatencyModels;
  mechanisms: SchedulingMechanisms;
  candidates: Candidates;
  engines: EngineStates;
  decodeEngines: DecodeEngines;
  limits: SendLimits;
}

/** Lists where prompts could be read. */
export interface PrefillOptions {
  /**
   * Lists where a request's prompt could be read.
   *
   * @param entry the request
   * @param generating engines that may generate
   * @param restMs time from the end of a read to the first event, in milliseconds
   */
  list(entry: TrackedJob, generating: readonly RegisteredServer[], restMs: number): PrefillOption[];
  /** Time for which an engine that generates is taken by reads and transfers, in milliseconds. */
  busyMs: (id: string) => number;
  /** Time from the end of a read to the first event, at the engine that could give it first, in ms. */
  estimateHandoffMs: (job: Job, generating: readonly RegisteredServer[]) => number;
}

/**
 * Creates the list of no request.
 *
 * @param parts the engines and what is known of them
 */
export function createPrefillOptions(parts: PrefillOptionsParts): PrefillOptions {
  const {
    clock,
    latencyModels: paces,
    mechanisms,
    candidates,
    engines,
    decodeEngines: generators,
    limits,
  } = parts;

  function list(
    entry: TrackedJob,
    generating: readonly RegisteredServer[],
    restMs: number,
  ): PrefillOption[] {
    const { job } = entry;
    const options: PrefillOption[] = [];
    for (const server of candidates.list(job, 'prefill')) {
      if (generating.length > 0) options.push(weighReader(entry, server, restMs));
    }
    const mayReadDirectly = mechanisms.directReads && paces.hasSamples();
    if (!mayReadDirectly && options.length > 0) return options;
    for (const server of generating) {
      if (generators.isFull(server, job.rank)) continue;
      const option = weighDirect(entry, server);
      if (!wouldPause(option, job)) options.push(option);
    }
    return options;
  }

  function weighReader(entry: TrackedJob, server: RegisteredServer, restMs: number): PrefillOption {
    const engine = engines.model(server.id);
    const queue = engines.queue(server.id);
    const startsInMs = engine.prefills.remainingMs(clock.now());
    const readMs = engine.estimatePrefillMs('prefill', entry.job.prompt);
    const newcomer = { ...entry, isLate: false, expectMs: () => readMs };
    const distanceMs = server.zone === entry.job.zone ? 0 : OTHER_ZONE_PENALTY_MS;
    // while nothing is known, what was given counts instead of what it takes
    const untilRoomMs = limits.msUntilRoom(server.id, queue.count());
    const probeMs = paces.hasSamples() ? 0 : PROBE_MS * (engine.prefills.count() + queue.count());
    return {
      server,
      engine,
      isLocal: false,
      queueDelayMs: Math.max(untilRoomMs, startsInMs + queue.workAheadMs(newcomer)),
      prefillMs: readMs,
      scoredPrefillMs: mechanisms.cacheAffinity ? readMs : 0,
      handoffMs: restMs,
      penaltyMs: distanceMs + probeMs,
      delaysOthers: queue.wouldDelay(newcomer, startsInMs, clock.now()),
      lateBacklogMs: queue.lateWorkMs(),
    };
  }

  function weighDirect({ job }: TrackedJob, server: RegisteredServer): PrefillOption {
    const engine = engines.model(server.id);
    const readMs = engine.estimatePrefillMs('decode', job.prompt);
    return {
      server,
      engine,
      isLocal: true,
      queueDelayMs: engine.prefills.remainingMs(clock.now()),
      prefillMs: readMs,
      scoredPrefillMs: mechanisms.cacheAffinity ? readMs : 0,
      handoffMs: 0,
      penaltyMs: server.zone === job.zone ? 0 : OTHER_ZONE_PENALTY_MS,
      delaysOthers: false,
      lateBacklogMs: 0,
    };
  }

  /**
   * Whether reading a prompt between the tokens of others would hold their next events up for too
   * long. One event may stand for many tokens, and each of their steps takes a chunk of the prompt:
   * unbounded, 430 of 1,039 short answers of a day with lost engines were late.
   */
  function wouldPause(
    { server, engine, prefillMs: readMs }: PrefillOption,
    { pauseMs }: Job,
  ): boolean {
    if (generators.running(server.id) === 0) return false;
    return engine.recentLocalPrefillMs(clock.now(), pauseMs) + readMs > MAX_STALL_SHARE * pauseMs;
  }

  /** Time for which an engine that generates is taken by reads and transfers. */
  function busyMs(id: string): number {
    const engine = engines.model(id);
    const now = clock.now();
    return engine.prefills.remainingMs(now) + engine.transfers.remainingMs(now);
  }

  function expectRestMs(job: Job, generating: readonly RegisteredServer[]): number {
    const transferMs = paces.transfer.estimateMs(resolveTransferWork(job, false));
    let leastMs = Number.POSITIVE_INFINITY;
    for (const { id } of generating) {
      leastMs = Math.min(leastMs, busyMs(id));
    }
    return Number.isFinite(leastMs) ? leastMs + transferMs : transferMs;
  }

  return { list, busyMs, estimateHandoffMs: expectRestMs };
}

/** What moving a prompt to the engine that generates takes. */
export function resolveTransferWork({ prompt }: Job, isOtherZone: boolean): Work {
  return { tokens: prompt.tokens * (isOtherZone ? OTHER_ZONE_FACTOR : 1), pairs: 0 };
}
