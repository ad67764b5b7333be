/**
 * Which engines may be given a request: the one rule for it. With another one elsewhere, a request goes
 * to and fro between the two. Where nothing seems sound, the judgement is more likely wrong than all
 * engines are.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { EngineRole, RegisteredServer } from '../fleet/index.js';
import type { EngineMonitor } from './engine-monitor.js';
import type { Job } from './job.js';

/** What the rule goes by. */
export interface CandidatesParts {
  /** Engines of the service that take requests now. */
  engines(): readonly RegisteredServer[];
  monitor: EngineMonitor;
  limits: SendLimits;
  /** Requests that an engine was given or that wait for it. */
  requestCount(id: string): number;
}

/** Engines that may be given a request. */
export interface Candidates {
  list(job: Job, role: EngineRole): RegisteredServer[];
  /** Whether an engine may read a request's prompt. */
  mayPrefill(id: string, job: Job): boolean;
  /** An engine of the service by its id. */
  find(id: string): RegisteredServer | undefined;
  /** The engine that generates whose limit leaves room first, of those that leave none now. */
  findSoonestAvailable(job: Job): string | undefined;
}

/**
 * Creates the rule.
 *
 * @param parts the engines and how they fare
 */
export function createCandidates(parts: CandidatesParts): Candidates {
  const { monitor: watch, limits } = parts;

  /** Engines of a role that seem sound, for all and for the gateway that asks. */
  function listSound(job: Job, role: EngineRole): RegisteredServer[] {
    const sound: RegisteredServer[] = [];
    for (const engine of listFit(job, role)) {
      if (job.avoided.includes(engine.id)) continue;
      if (watch.isAvailable(engine.id, parts.requestCount(engine.id))) sound.push(engine);
    }
    return sound;
  }

  /** Engines of a role that this request was not sent to in vain. */
  function listFit(job: Job, role: EngineRole): RegisteredServer[] {
    const fit: RegisteredServer[] = [];
    for (const engine of parts.engines()) {
      if (engine.role !== role || job.excluded.includes(engine.id)) continue;
      // prompts can wait for an engine that reads; what was read has to go on at once
      if (role === 'prefill' || hasRoom(engine.id, job)) fit.push(engine);
    }
    return fit;
  }

  /** Whether a limit leaves room; the last of it is left to the most urgent. */
  function hasRoom(id: string, job: Job): boolean {
    return limits.msUntilRoom(id, job.rank === 0 ? 0 : 1) === 0;
  }

  function list(job: Job, role: EngineRole): RegisteredServer[] {
    const sound = listSound(job, role);
    return sound.length > 0 ? sound : listFit(job, role);
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
      let first: string | undefined;
      let leastMs = Number.POSITIVE_INFINITY;
      for (const { id, role } of parts.engines()) {
        if (role !== 'decode' || job.excluded.includes(id)) continue;
        const untilRoomMs = limits.msUntilRoom(id);
        if (!limits.isLimited(id) || untilRoomMs >= leastMs) continue;
        first = id;
        leastMs = untilRoomMs;
      }
      return first;
    },
    find(id) {
      for (const engine of parts.engines()) {
        if (engine.id === id) return engine;
      }
      return undefined;
    },
  };
}
