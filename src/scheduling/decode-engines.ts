/**
 * The engines that generate, as their scheduler follows them: how much runs on each. Generation is
 * spread over the least busy; of equals, one in the zone of the engine that read the prompt, since
 * KV caches cross zones slowly.
 */
import type { RegisteredServer } from '../fleet/index.js';
import { OTHER_ZONE_PENALTY_MS } from './policy.js';

/** How many requests a generating engine is given, as a share of its slots: a few wait at the engine
 * itself, most urgent first, so that a slot never stands empty. Less urgent ones do not count, since
 * the engine admits a request before them. */
const FILLED_SHARE = 1.5;
/** How many requests of any rank it is given, as a share of its slots: engines queue a few times their
 * slots and decline what is beyond. */
const HELD_SHARE = 3;

/** How much longer a KV cache takes to another availability zone, in terms of running requests:
 * a nearer engine is preferred unless it runs so many more. */
const ZONE_PREFERENCE = 2;
/** What a millisecond weighs that an engine is taken by reads and transfers, in running requests: as
 * the two weigh against another availability zone. */
const BUSY_WEIGHT = ZONE_PREFERENCE / OTHER_ZONE_PENALTY_MS;

/** Follows the engines that generate. */
export interface DecodeEngines {
  /**
   * Chooses an engine.
   *
   * @param engines those that may be chosen
   * @param zone where the prompt is, or where the caller's gateway is
   * @param rank rank of the request's route
   * @param busyMs time for which an engine is taken by reads and transfers, in milliseconds
   */
  choose(
    engines: readonly RegisteredServer[],
    zone: string,
    rank: number,
    busyMs: (id: string) => number,
  ): RegisteredServer | undefined;
  /** Whether an engine is to get no more requests of a rank. */
  isFull(engine: RegisteredServer, rank: number): boolean;
  /** Requests that an engine was given and that have not ended. */
  running(id: string): number;
  /**
   * How much of an engine is taken: of its slots, or of its memory if that is more.
   *
   * @param cacheTokens tokens that its memory holds; prompts count whole, shared parts as often as
   * they occur
   */
  load(engine: RegisteredServer, cacheTokens: number): number;
  start(id: string, rank: number, tokens: number): void;
  end(id: string, rank: number, tokens: number): void;
}

/** Creates a count of nothing. */
export function createDecodeEngines(): DecodeEngines {
  /** Requests at each engine, by rank. */
  const counts = new Map<string, Map<number, number>>();
  /** Prompt tokens at each engine. */
  const held = new Map<string, number>();

  function running(id: string, upToRank = Number.POSITIVE_INFINITY): number {
    let found = 0;
    for (const [rank, count] of counts.get(id) ?? []) {
      if (rank <= upToRank) found += count;
    }
    return found;
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
    return running(id, rank) >= slots * FILLED_SHARE || running(id) >= slots * HELD_SHARE;
  }

  return {
    isFull,
    choose(engines, zone, rank, busyMs) {
      let best: RegisteredServer | undefined;
      let bestLoad = Number.POSITIVE_INFINITY;
      for (const engine of engines) {
        const distance = engine.zone === zone ? 0 : ZONE_PREFERENCE;
        const load = running(engine.id) + distance + BUSY_WEIGHT * busyMs(engine.id);
        if (load >= bestLoad || isFull(engine, rank)) continue;
        best = engine;
        bestLoad = load;
      }
      return best;
    },
    running: (id) => running(id),
    load({ id, slots }, cacheTokens) {
      return Math.max(running(id) / slots, (held.get(id) ?? 0) / Math.max(1, cacheTokens));
    },
    start(id, rank, tokens) {
      held.set(id, (held.get(id) ?? 0) + tokens);
      change(id, rank, 1);
    },
    end(id, rank, tokens) {
      change(id, rank, -1);
      if (counts.has(id)) held.set(id, (held.get(id) ?? 0) - tokens);
      else held.delete(id);
    },
  };
}
