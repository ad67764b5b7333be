/**
 * How many output tokens a request will probably have: learned for each team and class from what
 * its finished requests had, and until then what the class says.
 */

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.1;

/** Whose requests are alike. */
export interface EstimateKey {
  team: string;
  class: string;
}

/** Learned output lengths. */
export interface OutputEstimate {
  observe(key: EstimateKey, tokens: number): void;
  /** @param assumed what to say before anything was observed */
  expect(key: EstimateKey, assumed: number): number;
}

/** Creates an estimate that has seen nothing. */
export function createOutputEstimate(): OutputEstimate {
  const learned = new Map<string, number>();

  function nameOf(key: EstimateKey): string {
    return `${key.team}/${key.class}`;
  }

  return {
    observe(key, tokens) {
      const name = nameOf(key);
      const known = learned.get(name) ?? tokens;
      learned.set(name, known + (tokens - known) * NEWEST_WEIGHT);
    },
    expect: (key, assumed) => Math.ceil(learned.get(nameOf(key)) ?? assumed),
  };
}
