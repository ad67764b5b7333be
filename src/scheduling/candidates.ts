/**
 * Which engines may be given a request: the one rule for it. With another one elsewhere, a request goes
 * to and fro between the two. Where nothing seems sound, the judgement is more likely wrong than all
 * engines are.
 */
import type { EngineRole, RegisteredServer } from '../fleet/index.js';
import type { EngineWatch } from './engine-watch.js';
import type { Job } from './job.js';

/** What the rule goes by. */
export interface CandidatesParts {
  /** Engines of the service that take requests now. */
  engines(): readonly RegisteredServer[];
  watch: EngineWatch;
  /** Requests that an engine was given or that wait for it. */
  inUse(id: string): number;
}

/** Engines that may be given a request. */
export interface Candidates {
  list(job: Job, role: EngineRole): RegisteredServer[];
  /** Whether an engine may read a request's prompt. */
  mayRead(id: string, job: Job): boolean;
  /** An engine of the service by its id. */
  find(id: string): RegisteredServer | undefined;
}

/**
 * Creates the rule.
 *
 * @param parts the engines and how they fare
 */
export function createCandidates(parts: CandidatesParts): Candidates {
  const { watch } = parts;

  /** Engines of a role that seem sound, for all and for the gateway that asks. */
  function listSound(job: Job, role: EngineRole): RegisteredServer[] {
    const sound: RegisteredServer[] = [];
    for (const engine of listFit(job, role)) {
      if (job.avoided.includes(engine.id)) continue;
      if (watch.mayTake(engine.id, parts.inUse(engine.id))) sound.push(engine);
    }
    return sound;
  }

  /** Engines of a role that this request was not sent to in vain. */
  function listFit(job: Job, role: EngineRole): RegisteredServer[] {
    const fit: RegisteredServer[] = [];
    for (const engine of parts.engines()) {
      if (engine.role === role && !job.excluded.includes(engine.id)) fit.push(engine);
    }
    return fit;
  }

  function list(job: Job, role: EngineRole): RegisteredServer[] {
    const sound = listSound(job, role);
    return sound.length > 0 ? sound : listFit(job, role);
  }

  return {
    list,
    mayRead(id, job) {
      for (const engine of list(job, 'prefill')) {
        if (engine.id === id) return true;
      }
      return false;
    },
    find(id) {
      for (const engine of parts.engines()) {
        if (engine.id === id) return engine;
      }
      return undefined;
    },
  };
}
