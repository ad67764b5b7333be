/**
 * The engines that a scheduler follows, with what waits for each. One that it does not know yet is asked
 * for what it has cached.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { CacheInventory } from './cached-parts.js';
import { createEngineModel, type EngineModel } from './engine-model.js';
import type { TrackedJob } from './tracked-job.js';
import type { LatencyModels } from './latency-models.js';
import { createPrefillQueue, type PrefillQueue } from './prefill-queue.js';

/** What following engines needs. */
export interface EngineStatesParts {
  log: Log;
  latencyModels: LatencyModels;
  /** Tokens that the cache of one engine holds. */
  cacheTokens(): number;
  /** Where engines are asked for what they have cached; they are not where it is absent. */
  caches: CacheInventory | undefined;
  find(id: string): RegisteredServer | undefined;
}

/** Engines with what waits for them. */
export interface EngineStates {
  model: (id: string) => EngineModel;
  queue: (id: string) => PrefillQueue<TrackedJob>;
  /** Reads that an engine was given or that wait for it. */
  requestCount(id: string): number;
  /** An engine is gone for good. */
  forget(id: string): void;
}

/**
 * Creates a scheduler's knowledge of no engine.
 *
 * @param parts what is known of the service's engines
 */
export function createEngineStates(parts: EngineStatesParts): EngineStates {
  const { log, latencyModels: paces, caches } = parts;
  const models = new Map<string, EngineModel>();
  const queues = new Map<string, PrefillQueue<TrackedJob>>();

  /**
   * Asks an engine for what it has cached. A scheduler that starts anew would otherwise take all
   * prompts for unread, turn away what can well be served, and have parts read again elsewhere: in
   * a replayed load whose scheduler ends at the peak, 78 of 100 long prompts are on time in place of 70.
   */
  async function learnCache(engine: EngineModel, lists: CacheInventory): Promise<void> {
    const server = parts.find(engine.id);
    if (server === undefined) return;
    const listed = await lists.list(server);
    if (listed.isErr()) {
      log.write('engineCacheUnknown', { server: engine.id, reason: listed.error });
      return;
    }
    engine.addCachedParts(listed.value);
    log.write('engineCacheListed', { server: engine.id, parts: listed.value.length });
  }

  return {
    model(id) {
      const known = models.get(id);
      if (known !== undefined) return known;
      const created = createEngineModel(id, parts.cacheTokens(), paces);
      models.set(id, created);
      if (caches !== undefined) void learnCache(created, caches);
      return created;
    },
    queue(id) {
      const known = queues.get(id);
      if (known !== undefined) return known;
      const created = createPrefillQueue<TrackedJob>();
      queues.set(id, created);
      return created;
    },
    requestCount: (id) => (models.get(id)?.prefills.count() ?? 0) + (queues.get(id)?.count() ?? 0),
    forget(id) {
      models.delete(id);
      queues.delete(id);
    },
  };
}
