/**
 * Recursive least squares (a Kalman filter over the weights) with non-negative weights. Process noise
 * keeps the gain from vanishing, so that recent observations count most. With a wide prior, a single
 * observation already moves the weights.
 */

/** Share of a weight's prior variance that is added back to its variance per observation. */
const PROCESS_NOISE_SHARE = 0.0004;

/**
 * Model of a quantity as a weighted sum of known terms. Weights are not negative, so that predictions
 * never decrease with a term.
 */
export interface LinearModel {
  predict(terms: readonly number[]): number;
  /**
   * Updates the weights with an observation.
   *
   * @param terms the known terms
   * @param value the observed quantity
   * @param deviation standard deviation of the observation's noise, in the quantity's unit
   */
  observe(terms: readonly number[], value: number, deviation: number): void;
}

/**
 * Creates a model with all weights 0.
 *
 * @param deviations prior standard deviation of each weight
 */
export function createLinearModel(deviations: readonly number[]): LinearModel {
  let weights = deviations.map(() => 0);
  let covariance = createDiagonal(deviations);

  function predict(terms: readonly number[]): number {
    return dot(weights, terms);
  }

  function addProcessNoise(): void {
    for (const [index, row] of covariance.entries()) {
      const prior = (deviations[index] ?? 0) ** 2;
      row[index] = Math.min(prior, (row[index] ?? 0) + PROCESS_NOISE_SHARE * prior);
    }
  }

  return {
    predict,
    observe(terms, value, deviation) {
      const projection = covariance.map((row) => dot(row, terms));
      const variance = dot(projection, terms) + deviation ** 2;
      const residual = value - predict(terms);
      const gains = projection.map((entry) => entry / variance);
      weights = weights.map((weight, index) =>
        Math.max(0, weight + (gains[index] ?? 0) * residual),
      );
      covariance = covariance.map((row, left) =>
        row.map((entry, right) => entry - (gains[left] ?? 0) * (projection[right] ?? 0)),
      );
      addProcessNoise();
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
