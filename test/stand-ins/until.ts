/**
 * Waiting on a condition.
 */
import { setImmediate } from 'node:timers/promises';

/** Waits until a condition holds; the test's own time limit ends it otherwise. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await setImmediate();
}
