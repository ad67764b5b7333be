/**
 * Paces loads by the weight store: an order that makes an engine load something is given only after
 * the store granted a ticket for each thing to load. Tickets are asked for before the engine is kept
 * free of work, so that no engine idles in a queue for weights.
 */
import type { Failure } from '../errors/index.js';
import type { WeightStore } from '../ports/index.js';
import type { EngineSetup } from './rows.js';

/** Wait before asking again where the store names no time. */
const ASK_AGAIN_MS = 1_000;

/** Whether a load may begin. `askAgainMs` is how long to wait before asking again. */
export type PaceAnswer =
  { kind: 'granted' } | { kind: 'later'; failure: Failure; askAgainMs: number };

/** The tickets for the loads of one engine. */
export interface LoadPacer {
  /** Asks for what is still missing a ticket; tickets already granted are kept. */
  request(names: readonly string[]): Promise<PaceAnswer>;
  /** The load has been done; the next one needs tickets of its own. */
  reset(): void;
}

/**
 * Creates the tickets of one engine, none of them granted.
 *
 * @param store the weight store; loads are not paced when there is none
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
          return { kind: 'later', failure, askAgainMs: failure.retryAfterMs ?? ASK_AGAIN_MS };
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
 * What an engine would have to load to come to a state.
 *
 * @param present what it is
 * @param wanted what it is to be
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
