/**
 * Start-time fair queueing over the teams of a shard. The service of a team is counted in prefill
 * tokens divided by its weight. A team that becomes active starts with a bounded credit below the
 * least served waiting team.
 *
 * Priority decides between teams in the same band of service; otherwise the less served team goes
 * first regardless of priority. This bounds how far high-priority traffic can exceed its share.
 */

/** Service given to a team. */
export interface TeamCharge {
  team: string;
  weight: number;
  /** Work in prefill tokens; negative for a refund. */
  tokens: number;
}

/** The service that each team received, in prefill tokens divided by weight. */
export interface FairShare {
  /** Called when a team has its first waiting request. */
  activate(team: string): void;
  charge(charge: TeamCharge): void;
  /** Raises the floor to the service of the least served waiting team; never lowers it. */
  advanceFloor(served: number): void;
  served(team: string): number;
  /** Band of the team's service; a lower band goes first. */
  band(team: string): number;
  /** Service of the team above the floor. */
  lead(team: string): number;
}

/** Width of a band, in prefill tokens divided by weight: by how much teams may differ before priority no
 * longer counts. */
export const FAIR_BAND_TOKENS = 8_192;
/** Credit of an idle team below the floor, in prefill tokens divided by weight. */
export const IDLE_CREDIT_TOKENS = 8_192;
/** Number of accounts above which accounts at the idle credit are dropped. */
const MAX_ACCOUNTS = 10_000;

/** Creates the accounts of a shard without any service. */
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
