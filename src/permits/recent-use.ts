/**
 * Which teams use more than their share at the moment: service of the last seconds over weight,
 * against that of all teams that were served in that time. Unlike the account of fair queueing it
 * also tells while nobody waits.
 */
import { FAIR_BAND_TOKENS, type TeamCharge } from './fair-share.js';

/** Recent service of all teams. Times are milliseconds on one clock. */
export interface RecentUse {
  add(charge: TeamCharge, now: number): void;
  /** Whether the team had clearly more than its share lately, while others were served too. */
  isBeyondShare(team: string, now: number): boolean;
}

interface Use {
  weight: number;
  tokens: number;
}

/** Service counts for 1/e after this time. */
const MEMORY_MS = 20_000;
/** A team is beyond its share above this many times it and a burst. */
const TOLERANCE = 1.1;
/** Work by which a team may exceed its share at times, in prompt tokens to read. */
const BURST_TOKENS = 2 * FAIR_BAND_TOKENS;
/** Service of the past is scaled down, and teams without any forgotten, this often. */
const AGE_EVERY_MS = 250;
/** A team with fewer tokens left counts as not served. */
const LEAST_TOKENS = 1;

/** Creates the record of a shard on which nobody was served. */
export function createRecentUse(): RecentUse {
  const uses = new Map<string, Use>();
  let agedAt = 0;
  let totalTokens = 0;
  let totalWeight = 0;

  function age(now: number): void {
    if (now - agedAt < AGE_EVERY_MS) return;
    const kept = Math.exp((agedAt - now) / MEMORY_MS);
    agedAt = now;
    totalTokens = 0;
    totalWeight = 0;
    for (const [team, use] of uses) {
      use.tokens *= kept;
      if (use.tokens < LEAST_TOKENS) {
        uses.delete(team);
        continue;
      }
      totalTokens += use.tokens;
      totalWeight += use.weight;
    }
  }

  return {
    add({ team, weight, tokens }, now) {
      age(now);
      const known = uses.get(team);
      const use = known ?? { weight, tokens: 0 };
      if (known === undefined) {
        uses.set(team, use);
        totalWeight += weight;
      }
      const before = use.tokens;
      use.tokens = Math.max(0, before + tokens);
      totalTokens += use.tokens - before;
    },
    isBeyondShare(team, now) {
      age(now);
      const use = uses.get(team);
      if (use === undefined || use.weight >= totalWeight) return false;
      const share = (totalTokens * use.weight) / totalWeight;
      return use.tokens > share * TOLERANCE + BURST_TOKENS;
    },
  };
}
