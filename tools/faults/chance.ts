/** Small choices from a seeded source. */
import type { RandomSource } from '../../src/task/index.js';

export type { RandomSource } from '../../src/task/index.js';

/**
 * Picks one of some values; `undefined` when there are none.
 *
 * @param values the values
 * @param random the source
 */
export function pickFrom<Value>(values: readonly Value[], random: RandomSource): Value | undefined {
  return values[Math.floor(random.next() * values.length)];
}

/**
 * A number between two others.
 *
 * @param least the least number
 * @param most the number that is not reached
 * @param random the source
 */
export function between(least: number, most: number, random: RandomSource): number {
  return least + random.next() * (most - least);
}
