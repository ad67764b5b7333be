/**
 * How many output tokens a request will probably have: learned for each team and class from what
 * its finished requests had; for a team not seen before, from its class; and until then what the
 * class's configuration says.
 */

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.1;
/** Most teams and classes remembered; those seen longest ago go first. */
const MAX_REMEMBERED = 20_000;

/** Whose requests are alike. */
export interface EstimateKey {
  team: string;
  class: string;
}

/** Learned output lengths. */
export interface OutputEstimate {
  observe(key: EstimateKey, tokens: number): void;
  /** @param assumed what to say before anything was observed */
  estimate(key: EstimateKey, assumed: number): number;
}

/** Creates an estimate that has seen nothing. */
export function createOutputEstimate(): OutputEstimate {
  const byTeam = new Map<string, number>();
  const byClass = new Map<string, number>();

  function nameOf(key: EstimateKey): string {
    return `${key.team}/${key.class}`;
  }

  return {
    observe(key, tokens) {
      learn(byTeam, nameOf(key), tokens);
      learn(byClass, key.class, tokens);
    },
    estimate: (key, assumed) =>
      Math.ceil(byTeam.get(nameOf(key)) ?? byClass.get(key.class) ?? assumed),
  };
}

function learn(learned: Map<string, number>, name: string, tokens: number): void {
  const known = learned.get(name) ?? tokens;
  learned.delete(name);
  learned.set(name, known + (tokens - known) * NEWEST_WEIGHT);
  if (learned.size <= MAX_REMEMBERED) return;
  for (const oldest of learned.keys()) {
    learned.delete(oldest);
    return;
  }
}
