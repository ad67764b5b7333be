/**
 * The engines that generate, as their scheduler follows them: how much runs on each. Generation is
 * spread over the least busy; of equals, one in the zone of the engine that read the prompt, since
 * KV caches cross zones slowly.
 */
import type { RegisteredServer } from '../fleet/index.js';

/** How many requests a generating engine is given, as a share of its slots: a few wait at the engine
 * itself, most urgent first, so that a slot never stands empty. */
const FILLED_SHARE = 1.5;

/** How much longer a KV cache takes to another availability zone, in terms of running requests:
 * a nearer engine is preferred unless it runs so many more. */
const ZONE_PREFERENCE = 2;

/** Follows the engines that generate. */
export interface GeneratingEngines {
  /**
   * Chooses an engine.
   *
   * @param engines those that may be chosen
   * @param zone where the prompt is, or where the caller's gateway is
   */
  choose(engines: readonly RegisteredServer[], zone: string): RegisteredServer | undefined;
  /** Requests that an engine was given and that have not ended. */
  running(id: string): number;
  start(id: string): void;
  end(id: string): void;
}

/** Creates a count of nothing. */
export function createGeneratingEngines(): GeneratingEngines {
  const running = new Map<string, number>();

  function load(engine: RegisteredServer, zone: string): number {
    return (running.get(engine.id) ?? 0) + (engine.zone === zone ? 0 : ZONE_PREFERENCE);
  }

  return {
    choose(engines, zone) {
      let best: RegisteredServer | undefined;
      let bestLoad = Number.POSITIVE_INFINITY;
      for (const engine of engines) {
        const engineLoad = load(engine, zone);
        const isFull = (running.get(engine.id) ?? 0) >= engine.slots * FILLED_SHARE;
        if (isFull || engineLoad >= bestLoad) continue;
        best = engine;
        bestLoad = engineLoad;
      }
      return best;
    },
    running: (id) => running.get(id) ?? 0,
    start(id) {
      running.set(id, (running.get(id) ?? 0) + 1);
    },
    end(id) {
      const left = (running.get(id) ?? 0) - 1;
      if (left > 0) running.set(id, left);
      else running.delete(id);
    },
  };
}
