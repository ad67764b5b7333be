/**
 * Rate-limits loads by tickets of the weight store: an order is sent only after the store has
 * granted a ticket for each model and adapter to load. Tickets are requested before the engine is
 * drained, so that no engine idles while it waits for weights.
 */
import type { Failure } from '../errors/index.js';
import type { WeightStore } from '../ports/index.js';
import type { EngineSetup } from './rows.js';

/** Retry delay where the store names none. */
const DEFAULT_RETRY_MS = 1_000;

/** Whether a load may begin. `askAgainMs` is the retry delay. */
export type PaceAnswer =
  { kind: 'granted' } | { kind: 'later'; failure: Failure; askAgainMs: number };

/** The tickets for the loads of one engine. */
export interface LoadPacer {
  /** Requests the tickets that are missing; those already granted are kept. */
  request(names: readonly string[]): Promise<PaceAnswer>;
  /** Discards the granted tickets, after the load. */
  reset(): void;
}

/**
 * Creates the pacer of one engine, without any ticket.
 *
 * @param store the weight store; loads are not paced without one
 */
export function createLoadPacer(store: WeightStore | undefined): LoadPacer {
  const granted = new Set<string>();

  return {
    async request(names) {
      if (store === undefined) return { kind: 'granted' };
      for (const name of names) {
        if (granted.has(name)) continue;
        const ticket = await store.requestTicket(name);
        if (ticket.isErr()) {
          const failure = ticket.error;
          return { kind: 'later', failure, askAgainMs: failure.retryAfterMs ?? DEFAULT_RETRY_MS };
        }
        granted.add(name);
      }
      return { kind: 'granted' };
    },
    reset() {
      granted.clear();
    },
  };
}

/**
 * Lists the models and adapters that an engine has to load for a setup.
 *
 * @param present its present setup
 * @param wanted the wanted setup
 */
export function listLoads(present: EngineSetup, wanted: EngineSetup): string[] {
  const loads: string[] = [];
  for (const name of wanted.models) {
    if (!present.models.includes(name)) loads.push(name);
  }
  for (const name of wanted.adapters) {
    if (!present.adapters.includes(name)) loads.push(name);
  }
  return loads;
}
