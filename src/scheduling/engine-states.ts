/**
 * Model and prefill queue of each engine of a service, created on first use.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { CacheInventory } from './cached-parts.js';
import { createEngineModel, type EngineModel } from './engine-model.js';
import type { TrackedJob } from './tracked-job.js';
import type { LatencyModels } from './latency-models.js';
import { createPrefillQueue, type PrefillQueue } from './prefill-queue.js';

/** Dependencies of the engine states. */
export interface EngineStatesParts {
  log: Log;
  latencyModels: LatencyModels;
  /** Capacity of one engine's cache in tokens. */
  cacheTokens(): number;
  /** Lists the cached parts of new engines; if absent, their caches are assumed to be empty. */
  caches: CacheInventory | undefined;
  find(id: string): RegisteredServer | undefined;
}

/** Models and queues of engines. */
export interface EngineStates {
  model: (id: string) => EngineModel;
  queue: (id: string) => PrefillQueue<TrackedJob>;
  /** Prefills that run on an engine or wait for it. */
  requestCount(id: string): number;
  /** Removes an engine that will not return. */
  forget(id: string): void;
}

/**
 * Creates a record without engines.
 *
 * @param parts latency models and caches of the service's engines
 */
export function createEngineStates(parts: EngineStatesParts): EngineStates {
  const { log, latencyModels, caches } = parts;
  const models = new Map<string, EngineModel>();
  const queues = new Map<string, PrefillQueue<TrackedJob>>();

  /**
   * Loads what an engine has cached. Without it, a new scheduler would assume empty caches,
   * overestimate prefill times and send prompts to engines without their parts.
   */
  async function loadCache(engine: EngineModel, inventory: CacheInventory): Promise<void> {
    const server = parts.find(engine.id);
    if (server === undefined) return;
    const listed = await inventory.list(server);
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
      const created = createEngineModel(id, parts.cacheTokens(), latencyModels);
      models.set(id, created);
      if (caches !== undefined) void loadCache(created, caches);
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
