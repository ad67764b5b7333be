/**
 * Who holds which shard, by the holders' summaries that have arrived here. A pure table that never goes
 * backwards: a higher fence wins, then a release of the shard, then a higher sequence.
 */
import type { ShardSummary } from '../links/index.js';

/** How a summary compares with what was known. */
export type Learnt = 'old' | 'newer' | 'changed';

/** The newest summary of each shard. */
export interface ShardRecords {
  /**
   * Takes in a summary if it is newer.
   *
   * @returns `changed` when another holder, fence or release is news for everybody; `newer` when
   *   only the load is newer
   */
  learn(summary: ShardSummary): Learnt;
  find(shard: string): ShardSummary | undefined;
  all(): ShardSummary[];
}

/** Creates an empty table. */
export function createShardRecords(): ShardRecords {
  const byShard = new Map<string, ShardSummary>();

  return {
    learn(summary) {
      const known = byShard.get(summary.shard);
      const learnt = compare(known, summary);
      if (learnt !== 'old') byShard.set(summary.shard, summary);
      return learnt;
    },
    find: (shard) => byShard.get(shard),
    all: () => [...byShard.values()],
  };
}

function compare(known: ShardSummary | undefined, summary: ShardSummary): Learnt {
  if (known === undefined || summary.fence > known.fence) return 'changed';
  if (summary.fence < known.fence || known.released === true) return 'old';
  if (summary.released === true) return 'changed';
  return summary.sequence > known.sequence ? 'newer' : 'old';
}
