/**
 * Estimates the output tokens of a request as a moving average over finished requests of its team
 * and class, or of its class if the team is unknown.
 */

/** Weight of the newest observation in the moving average. */
const NEWEST_WEIGHT = 0.1;
/** Maximum number of averages; the least recently updated one is evicted. */
const MAX_AVERAGES = 20_000;

/** Requests that share an average. */
export interface EstimateKey {
  team: string;
  class: string;
}

/** Learned output lengths. */
export interface OutputEstimate {
  observe(key: EstimateKey, tokens: number): void;
  /** @param fallback the estimate while nothing was observed */
  estimate(key: EstimateKey, fallback: number): number;
}

/** Creates an estimate without observations. */
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
    estimate: (key, fallback) =>
      Math.ceil(byTeam.get(nameOf(key)) ?? byClass.get(key.class) ?? fallback),
  };
}

function learn(learned: Map<string, number>, name: string, tokens: number): void {
  const average = learned.get(name) ?? tokens;
  learned.delete(name);
  learned.set(name, average + (tokens - average) * NEWEST_WEIGHT);
  if (learned.size <= MAX_AVERAGES) return;
  for (const oldest of learned.keys()) {
    learned.delete(oldest);
    return;
  }
}
