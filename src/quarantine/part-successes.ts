/**
 * Parts of prompts on which engines have lately written complete answers. Such a part is not the cause of a crash: most
 * parts of a request that is lost with its engine are shared with requests that are served all the time.
 */
import type { Clock } from '../task/index.js';

/** How long a success speaks for a part, in ms. */
const VALID_MS = 30_000;
/** Servers whose crashes a success excuses; engines of another version may not stand the part any more. */
const MAX_EXCUSED_SERVERS = 3;
/** Parts remembered at most; the one whose last success is the oldest is dropped first. */
const MAX_PARTS = 4_096;

/** Successes of parts at this gateway. */
export interface PartSuccesses {
  /** An answer on these parts is complete. */
  record(keys: readonly string[]): void;
  /**
   * Whether a success of a part excuses it of a crash.
   *
   * @param key the part's key
   * @param server the server that crashed, if it is known
   */
  excuses: (key: string, server: string | undefined) => boolean;
}

interface PartSuccess {
  at: number;
  /** Servers that have crashed under the part since. */
  crashed: Set<string>;
}

/**
 * Creates an empty memory.
 *
 * @param clock the gateway's clock
 */
export function createPartSuccesses(clock: Clock): PartSuccesses {
  /** By key, in the order of their times. */
  const successes = new Map<string, PartSuccess>();

  return {
    record(keys) {
      for (const key of keys) {
        successes.delete(key);
        successes.set(key, { at: clock.now(), crashed: new Set() });
      }
      for (const key of successes.keys()) {
        if (successes.size <= MAX_PARTS) break;
        successes.delete(key);
      }
    },
    excuses(key, server) {
      const success = successes.get(key);
      if (success === undefined || clock.now() - success.at > VALID_MS) return false;
      if (server !== undefined) success.crashed.add(server);
      return success.crashed.size <= MAX_EXCUSED_SERVERS;
    },
  };
}
