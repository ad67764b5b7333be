/**
 * Whom a router tells of its places in use, and how often. A holder hears from the routers that use
 * it or asked it lately, and from no others: telling every holder would cost nodes times shards
 * messages a second. A holder that granted the places knows them, so that it is reminded at a
 * bounded rate, for the sake of lost messages; a new holder, and one that could not be reached
 * lately, is told at once and every time.
 */
import type { Links, Query, ShardSummary } from '../links/index.js';
import type { Clock } from '../task/index.js';

/** A lost grant or release shows within this time after the last permit was asked for. */
const TOLD_FOR_MS = 10_000;
/** Places that a node reminds holders of in a second, all holders together. */
const REMINDED_PER_SECOND = 16;
const MS_PER_SECOND = 1_000;
/** Reminders fall due with a timer that may be this early. */
const EARLY_MS = 50;

/** What may be told to the holder of a shard. */
export interface Report {
  shard: string;
  /** The holder and its fence. */
  holder: string;
  /** How many places in the shard are in use. */
  places: number;
  /** How many places this node uses in all shards. */
  allPlaces: number;
}

/** Which shards this node's router has to do with. */
export interface PlacesReport {
  /** Links that note each permit that is asked for. */
  links: Pick<Links, 'query' | 'notify'>;
  /** Whether the holder of a shard is to be told now; one that is due counts as told. */
  isDue(report: Report): boolean;
}

interface Told {
  holder: string;
  at: number;
}

/**
 * Creates the account of shards that were used lately.
 *
 * @param links what permits are asked over
 * @param clock what "lately" goes by
 * @param heard takes what an answer says of its shard
 */
export function createPlacesReport(
  links: Pick<Links, 'query' | 'notify'>,
  clock: Clock,
  heard: (summary: ShardSummary) => void,
): PlacesReport {
  const usedAt = new Map<string, number>();
  const unreachedAt = new Map<string, number>();
  const told = new Map<string, Told>();

  function isLately(times: Map<string, number>, shard: string): boolean {
    const last = times.get(shard);
    if (last === undefined) return false;
    if (clock.now() - last <= TOLD_FOR_MS) return true;
    times.delete(shard);
    return false;
  }

  function note(query: Query, times: Map<string, number>): void {
    if (query.kind === 'permit.request') times.set(query.shard, clock.now());
  }

  return {
    links: {
      notify: (peer, notice) => {
        links.notify(peer, notice);
      },
      async query(peer, query, timeoutMs) {
        note(query, usedAt);
        const answer = await links.query(peer, query, timeoutMs);
        note(query, usedAt);
        if (answer.isErr()) note(query, unreachedAt);
        else if ('summary' in answer.value && answer.value.summary !== undefined) {
          heard(answer.value.summary);
        }
        return answer;
      },
    },
    isDue({ shard, holder, places, allPlaces }) {
      const now = clock.now();
      if (places > 0) usedAt.set(shard, now);
      if (!isLately(usedAt, shard)) {
        told.delete(shard);
        return false;
      }
      const last = told.get(shard);
      const pauseMs = (allPlaces / REMINDED_PER_SECOND) * MS_PER_SECOND - EARLY_MS;
      const isKnown = last?.holder === holder && !isLately(unreachedAt, shard);
      if (isKnown && now - last.at < Math.min(pauseMs, TOLD_FOR_MS)) return false;
      told.set(shard, { holder, at: now });
      return true;
    },
  };
}
