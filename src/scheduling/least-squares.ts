/**
 * Linear estimates that are learnt one observation at a time. The newest observations count most, so
 * that an estimate follows what it describes, and a wide prior makes the first one useful already.
 */

/** Share of the prior's uncertainty that returns with each observation: some fifty decide. */
const DRIFT = 0.0004;

/** An estimate of a quantity as a weighted sum of known terms. No weight is negative, so that more of
 * a term never makes for less of the quantity. */
export interface LinearModel {
  /** The quantity for given terms, by all that was observed. */
  predict(terms: readonly number[]): number;
  /**
   * Takes an observation in.
   *
   * @param terms the known terms
   * @param value the quantity that was observed
   * @param deviation how far such an observation is off by chance, in the quantity's unit
   */
  observe(terms: readonly number[], value: number, deviation: number): void;
}

/**
 * Creates an estimate whose weights are all 0, each uncertain by a given amount.
 *
 * @param deviations how far each weight may plausibly be from 0
 */
export function createLinearModel(deviations: readonly number[]): LinearModel {
  let weights = deviations.map(() => 0);
  let covariance = createDiagonal(deviations);

  function predict(terms: readonly number[]): number {
    return dot(weights, terms);
  }

  function addDrift(): void {
    for (const [index, row] of covariance.entries()) {
      const prior = (deviations[index] ?? 0) ** 2;
      row[index] = Math.min(prior, (row[index] ?? 0) + DRIFT * prior);
    }
  }

  return {
    predict,
    observe(terms, value, deviation) {
      const spread = covariance.map((row) => dot(row, terms));
      const variance = dot(spread, terms) + deviation ** 2;
      const surprise = value - predict(terms);
      const gains = spread.map((entry) => entry / variance);
      weights = weights.map((weight, index) =>
        Math.max(0, weight + (gains[index] ?? 0) * surprise),
      );
      covariance = covariance.map((row, left) =>
        row.map((entry, right) => entry - (gains[left] ?? 0) * (spread[right] ?? 0)),
      );
      addDrift();
    },
  };
}

function createDiagonal(deviations: readonly number[]): number[][] {
  return deviations.map((deviation, index) =>
    deviations.map((_, other) => (other === index ? deviation ** 2 : 0)),
  );
}

function dot(left: readonly number[], right: readonly number[]): number {
  let sum = 0;
  for (const [index, entry] of left.entries()) {
    sum += entry * (right[index] ?? 0);
  }
  return sum;
}
