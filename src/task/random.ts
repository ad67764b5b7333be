/**
 * Randomness, as decisions see it: a source that is passed in, seeded in tests and benches.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface RandomSource {
  /** The next number, evenly spread over [0, 1). */
  next(): number;
}

const UINT32_RANGE = 2 ** 32;

/**
 * Creates a repeatable source.
 *
 * @param seed any integer; the same seed gives the same numbers
 */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return { next: () => (generator.next() >>> 0) / UINT32_RANGE };
}

/** Creates a source with a seed taken from the platform. */
export function createSystemRandom(): RandomSource {
  return { next: () => Math.random() };
}
