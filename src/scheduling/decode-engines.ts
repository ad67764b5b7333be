/**
 * Load of the decode engines and the choice among them: the least loaded one, preferably in the
 * availability zone that holds the prompt, since cross-zone KV cache transfers are slow.
 */
import type { RegisteredServer } from '../fleet/index.js';
import { OTHER_ZONE_PENALTY_MS } from './policy.js';

/** Maximum requests of the same or a more urgent rank at an engine, as a multiple of its slots; above 1,
 * so that freed slots are filled at once. Engines admit by rank, so less urgent requests do not
 * count. */
const MAX_FILL_OF_RANK = 1.5;
/** Maximum requests of all ranks at an engine, as a multiple of its slots; engines decline more. */
const MAX_FILL = 3;

/** Penalty of an engine in another availability zone, in running requests. */
const OTHER_ZONE_PENALTY = 2;
/** Weight of a millisecond of pending prefills and transfers, in running requests: as the two weigh
 * against another availability zone. */
const BUSY_WEIGHT = OTHER_ZONE_PENALTY / OTHER_ZONE_PENALTY_MS;

/** Requests on the decode engines. */
export interface DecodeEngines {
  /**
   * Chooses an engine.
   *
   * @param engines the candidates
   * @param zone zone of the prompt's KV cache, or of the caller's gateway
   * @param rank rank of the request's route
   * @param busyMs time until an engine has finished its prefills and transfers, in milliseconds
   */
  choose(
    engines: readonly RegisteredServer[],
    zone: string,
    rank: number,
    busyMs: (id: string) => number,
  ): RegisteredServer | undefined;
  /** Whether an engine is at its limit for requests of a rank. */
  isFull(engine: RegisteredServer, rank: number): boolean;
  /** Requests that an engine was given and that have not ended. */
  running(id: string): number;
  /**
   * Utilization of an engine's slots or of its cache, whichever is higher; 1 is full.
   *
   * @param cacheTokens capacity of its cache; shared prompt parts count once per request
   */
  load(engine: RegisteredServer, cacheTokens: number): number;
  start(id: string, rank: number, tokens: number): void;
  end(id: string, rank: number, tokens: number): void;
}

/** Creates a record without requests. */
export function createDecodeEngines(): DecodeEngines {
  /** Requests by engine and rank. */
  const counts = new Map<string, Map<number, number>>();
  /** Prompt tokens by engine. */
  const promptTokens = new Map<string, number>();

  function running(id: string, upToRank = Number.POSITIVE_INFINITY): number {
    let sum = 0;
    for (const [rank, count] of counts.get(id) ?? []) {
      if (rank <= upToRank) sum += count;
    }
    return sum;
  }

  function change(id: string, rank: number, by: number): void {
    const byRank = counts.get(id) ?? new Map<number, number>();
    counts.set(id, byRank);
    const count = (byRank.get(rank) ?? 0) + by;
    if (count > 0) byRank.set(rank, count);
    else byRank.delete(rank);
    if (byRank.size === 0) counts.delete(id);
  }

  function isFull({ id, slots }: RegisteredServer, rank: number): boolean {
    return running(id, rank) >= slots * MAX_FILL_OF_RANK || running(id) >= slots * MAX_FILL;
  }

  return {
    isFull,
    choose(engines, zone, rank, busyMs) {
      let best: RegisteredServer | undefined;
      let bestLoad = Number.POSITIVE_INFINITY;
      for (const engine of engines) {
        const zonePenalty = engine.zone === zone ? 0 : OTHER_ZONE_PENALTY;
        const load = running(engine.id) + zonePenalty + BUSY_WEIGHT * busyMs(engine.id);
        if (load >= bestLoad || isFull(engine, rank)) continue;
        best = engine;
        bestLoad = load;
      }
      return best;
    },
    running: (id) => running(id),
    load({ id, slots }, cacheTokens) {
      return Math.max(running(id) / slots, (promptTokens.get(id) ?? 0) / Math.max(1, cacheTokens));
    },
    start(id, rank, tokens) {
      promptTokens.set(id, (promptTokens.get(id) ?? 0) + tokens);
      change(id, rank, 1);
    },
    end(id, rank, tokens) {
      change(id, rank, -1);
      if (counts.has(id)) promptTokens.set(id, (promptTokens.get(id) ?? 0) - tokens);
      else promptTokens.delete(id);
    },
  };
}
