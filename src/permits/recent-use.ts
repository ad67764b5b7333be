/**
 * Detects teams that exceed their fair share, by exponentially decayed service (in prefill tokens)
 * relative to the weights of all recently served teams. Unlike `FairShare`, it also works with an
 * empty queue.
 */
import { FAIR_BAND_TOKENS, type TeamCharge } from './fair-share.js';

/** Recent service of all teams. Times are milliseconds on one clock. */
export interface RecentUse {
  add(charge: TeamCharge, now: number): void;
  /** Whether the team recently exceeded its share while other teams were served too. */
  isBeyondShare(team: string, now: number): boolean;
}

interface Use {
  weight: number;
  tokens: number;
}

/** Time constant of the decay: after it, service counts for 1/e. */
const DECAY_MS = 20_000;
/** A team exceeds its share above this multiple of the share plus `BURST_TOKENS`. */
const TOLERANCE = 1.1;
/** Burst allowed on top of the share, in prefill tokens. */
const BURST_TOKENS = 2 * FAIR_BAND_TOKENS;
/** Minimum time between two applications of the decay. */
const DECAY_EVERY_MS = 250;
/** Teams with less decayed service, in prefill tokens, are dropped. */
const MIN_TOKENS = 1;

/** Creates an empty record of the teams that a shard serves. */
export function createRecentUse(): RecentUse {
  const uses = new Map<string, Use>();
  let decayedAt = 0;
  let totalTokens = 0;
  let totalWeight = 0;

  function decay(now: number): void {
    if (now - decayedAt < DECAY_EVERY_MS) return;
    const factor = Math.exp((decayedAt - now) / DECAY_MS);
    decayedAt = now;
    totalTokens = 0;
    totalWeight = 0;
    for (const [team, use] of uses) {
      use.tokens *= factor;
      if (use.tokens < MIN_TOKENS) {
        uses.delete(team);
        continue;
      }
      totalTokens += use.tokens;
      totalWeight += use.weight;
    }
  }

  return {
    add({ team, weight, tokens }, now) {
      decay(now);
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
      decay(now);
      const use = uses.get(team);
      if (use === undefined || use.weight >= totalWeight) return false;
      const share = (totalTokens * use.weight) / totalWeight;
      return use.tokens > share * TOLERANCE + BURST_TOKENS;
    },
  };
}
