/**
 * What each team was served, in prompt tokens to read over its weight, on one scale for all teams of a shard
 * (start-time fair queueing). A team that was idle starts a bounded credit behind the least served
 * waiting team: enough for a burst of its own, too little to hold anybody up.
 *
 * Between teams that differ by less than one band, priority decides; beyond it the less served team
 * goes first whatever the priority. So no team's traffic, however urgent it is said to be, takes
 * more than its share for longer than a band.
 */

/** A team's use of a shard. */
export interface TeamCharge {
  team: string;
  weight: number;
  /** Tokens served; negative to give some back. */
  tokens: number;
}

/** The account of every team. */
export interface FairShare {
  /** A team begins to wait. */
  activate(team: string): void;
  charge(charge: TeamCharge): void;
  /** The least served of those that wait stands here now; never goes back. */
  advanceFloor(served: number): void;
  served(team: string): number;
  /** The team's band; lower goes first. */
  band(team: string): number;
  /** How far the team is ahead of the least served one, in tokens over weight. */
  lead(team: string): number;
}

/** Tokens over weight by which teams may differ before priority no longer counts. */
export const FAIR_BAND_TOKENS = 8_192;
/** Tokens over weight by which a team that was idle may be behind the least served that waits. */
export const IDLE_CREDIT_TOKENS = 8_192;
/** Accounts beyond which those that hold nothing are dropped. */
const MAX_ACCOUNTS = 10_000;

/** Creates the accounts of a shard on which nobody was served. */
export function createFairShare(): FairShare {
  const accounts = new Map<string, number>();
  let floor = 0;

  function served(team: string): number {
    const least = floor - IDLE_CREDIT_TOKENS;
    return Math.max(least, accounts.get(team) ?? least);
  }

  function prune(): void {
    if (accounts.size <= MAX_ACCOUNTS) return;
    for (const [team, account] of accounts) {
      if (account <= floor - IDLE_CREDIT_TOKENS) accounts.delete(team);
    }
  }

  return {
    activate(team) {
      accounts.set(team, served(team));
      prune();
    },
    charge({ team, weight, tokens }) {
      accounts.set(team, served(team) + tokens / weight);
    },
    advanceFloor(least) {
      floor = Math.max(floor, least);
    },
    served,
    band: (team) => Math.floor(served(team) / FAIR_BAND_TOKENS),
    lead: (team) => served(team) - floor,
  };
}
