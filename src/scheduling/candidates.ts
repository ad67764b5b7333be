/**
 * Selects the engines that may be given a request. All placement decisions use this one rule, since
 * two different rules could pass a request back and forth. If every eligible engine is unhealthy or
 * avoided by the requesting gateway, all eligible ones are used.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { EngineRole, RegisteredServer } from '../fleet/index.js';
import type { EngineMonitor } from './engine-monitor.js';
import { resolvePlaceRank, type Job } from './job.js';

/** Dependencies of the selection. */
export interface CandidatesParts {
  /** Engines of the service that accept requests now. */
  engines(): readonly RegisteredServer[];
  monitor: EngineMonitor;
  limits: SendLimits;
  /** Requests that run on an engine or wait for it. */
  requestCount(id: string): number;
}

/** Engines that may be given a request. */
export interface Candidates {
  list(job: Job, role: EngineRole): RegisteredServer[];
  /** Whether an engine may prefill a request's prompt. */
  mayPrefill(id: string, job: Job): boolean;
  /** Finds an engine of the service by its id. */
  find(id: string): RegisteredServer | undefined;
  /** Finds the rate-limited decode engine that will accept a request soonest. */
  findSoonestAvailable(job: Job): string | undefined;
}

/**
 * Creates the candidate selection.
 *
 * @param parts the engines with their health and limits
 */
export function createCandidates(parts: CandidatesParts): Candidates {
  const { monitor, limits } = parts;

  /** Eligible engines that are healthy and that the requesting gateway does not avoid. */
  function listPreferred(job: Job, role: EngineRole): RegisteredServer[] {
    const preferred: RegisteredServer[] = [];
    for (const engine of listEligible(job, role)) {
      if (job.avoided.includes(engine.id)) continue;
      if (monitor.isAvailable(engine.id, parts.requestCount(engine.id))) preferred.push(engine);
    }
    return preferred;
  }

  /** Engines of a role that may serve this request; decode engines also need room. */
  function listEligible(job: Job, role: EngineRole): RegisteredServer[] {
    const eligible: RegisteredServer[] = [];
    for (const engine of parts.engines()) {
      if (engine.role !== role || !mayServe(engine, job)) continue;
      // requests can wait for a prefill engine; decoding has to follow the prefill at once
      if (role === 'prefill' || hasRoom(engine.id, job)) eligible.push(engine);
    }
    return eligible;
  }

  /** Whether an engine's rate limit leaves room; the last slot is reserved for requests of rank 0. */
  function hasRoom(id: string, job: Job): boolean {
    return limits.msUntilRoom(id, resolvePlaceRank(job) === 0 ? 0 : 1) === 0;
  }

  function list(job: Job, role: EngineRole): RegisteredServer[] {
    const preferred = listPreferred(job, role);
    return preferred.length > 0 ? preferred : listEligible(job, role);
  }

  return {
    list,
    mayPrefill(id, job) {
      for (const engine of list(job, 'prefill')) {
        if (engine.id === id) return true;
      }
      return false;
    },
    findSoonestAvailable(job) {
      let soonest: string | undefined;
      let leastMs = Number.POSITIVE_INFINITY;
      for (const engine of parts.engines()) {
        const { id, role } = engine;
        if (role !== 'decode' || !mayServe(engine, job)) continue;
        const untilRoomMs = limits.msUntilRoom(id);
        if (!limits.isLimited(id) || untilRoomMs >= leastMs) continue;
        soonest = id;
        leastMs = untilRoomMs;
      }
      return soonest;
    },
    find(id) {
      for (const engine of parts.engines()) {
        if (engine.id === id) return engine;
      }
      return undefined;
    },
  };
}

/** Whether an engine has not failed a request nor asked for a pause, and has the version that the request's stream began at. */
function mayServe({ id, version }: RegisteredServer, job: Job): boolean {
  if (job.excluded.includes(id) || job.paused.includes(id)) return false;
  return job.version === undefined || job.version === version;
}
