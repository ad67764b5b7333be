/**
 * Parts of prompts on which engines have lately written complete answers. Such a part is not the cause of a crash: most
 * parts of a request that is lost with its engine are shared with requests that are served all the time.
 */
import type { Clock } from '../task/index.js';

/** How long a success speaks for a part, in ms. Beyond that, a new version of the engines may not stand the part. */
const VALID_MS = 30_000;
/** Parts remembered at most; the one whose last success is the oldest is dropped first. */
const MAX_PARTS = 4_096;

/** Successes of parts at this gateway. */
export interface PartSuccesses {
  /** An answer on these parts is complete. */
  record(keys: readonly string[]): void;
  /** Whether an answer on the part was completed lately. */
  isRecent: (key: string) => boolean;
}

/**
 * Creates an empty memory.
 *
 * @param clock the gateway's clock
 */
export function createPartSuccesses(clock: Clock): PartSuccesses {
  /** Time of the last success, by key, in the order of those times. */
  const successes = new Map<string, number>();

  return {
    record(keys) {
      for (const key of keys) {
        successes.delete(key);
        successes.set(key, clock.now());
      }
      for (const key of successes.keys()) {
        if (successes.size <= MAX_PARTS) break;
        successes.delete(key);
      }
    },
    isRecent(key) {
      const at = successes.get(key);
      return at !== undefined && clock.now() - at <= VALID_MS;
    },
  };
}
