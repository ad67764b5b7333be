/**
 * Whom a router tells of its places in use. A holder hears from the routers that use it or asked it
 * lately, and from no others: telling every holder would cost nodes times shards messages a second.
 */
import type { Links, Query, ShardSummary } from '../links/index.js';
import type { Clock } from '../task/index.js';

/** A lost grant or release shows within this time after the last permit was asked for. */
const TOLD_FOR_MS = 10_000;

/** Which shards this node's router has to do with. */
export interface PlacesReport {
  /** Links that note each permit that is asked for. */
  links: Pick<Links, 'query' | 'notify'>;
  /**
   * Whether the holder of a shard is to be told now.
   *
   * @param shard name of the shard
   * @param places how many places there are in use now
   */
  isDue(shard: string, places: number): boolean;
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

  function note(query: Query): void {
    if (query.kind === 'permit.request') usedAt.set(query.shard, clock.now());
  }

  return {
    links: {
      notify: (peer, notice) => {
        links.notify(peer, notice);
      },
      async query(peer, query, timeoutMs) {
        note(query);
        const answer = await links.query(peer, query, timeoutMs);
        note(query);
        if (answer.isOk() && 'summary' in answer.value && answer.value.summary !== undefined) {
          heard(answer.value.summary);
        }
        return answer;
      },
    },
    isDue(shard, places) {
      if (places > 0) usedAt.set(shard, clock.now());
      const last = usedAt.get(shard);
      if (last === undefined) return false;
      if (clock.now() - last <= TOLD_FOR_MS) return true;
      usedAt.delete(shard);
      return false;
    },
  };
}
