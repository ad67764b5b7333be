/**
 * The late prompt that an engine prefills in the background. Engines work on the most urgent prompt
 * first, in pieces, so a late one takes only time that the others leave. If they leave less than the
 * share that late prompts are due, the others are held back until the difference is made up.
 */

/** Shortest time for which other prompts are held back, in ms: a piece of a prompt is not interrupted,
 * so that a shorter hold would cost others more than it gives. */
const MIN_HOLD_MS = 100;

/** The background prefill of one engine. */
export interface BackgroundPrefill {
  isRunning(): boolean;
  /** Estimated work that is left of it, in milliseconds; 0 if there is none. */
  remainingMs(): number;
  /** For how long other prompts have to be held back now, in milliseconds. */
  holdMs(): number;
  start(job: string, expectedMs: number, isReserved: boolean): void;
  isReserved(): boolean;
  /** Ends it; returns whether it was this request's. */
  end(job: string): boolean;
  /** Records time in which the engine had nothing else to do, in milliseconds. */
  progressed(ms: number): void;
  /**
   * Records that another prompt is given to the engine.
   *
   * @param expectedMs its estimated prefill time, in milliseconds
   * @param share share of the engine's time that late prompts are due, below 1
   */
  preceded(expectedMs: number, share: number): void;
}

/** Creates the record of an engine without a background prefill. */
export function createBackgroundPrefill(): BackgroundPrefill {
  let running: { job: string; leftMs: number; isReserved: boolean } | undefined;
  /** Engine time that late prompts are behind. */
  let owedMs = 0;
  let isHolding = false;

  function updateHold(): void {
    if (owedMs >= MIN_HOLD_MS) isHolding = true;
    if (owedMs === 0) isHolding = false;
  }

  return {
    isRunning: () => running !== undefined,
    remainingMs: () => running?.leftMs ?? 0,
    holdMs: () => (running !== undefined && isHolding ? owedMs : 0),
    isReserved: () => running?.isReserved === true,
    start(job, expectedMs, isReserved) {
      running = { job, leftMs: expectedMs, isReserved };
    },
    end(job) {
      if (running?.job !== job) return false;
      running = undefined;
      return true;
    },
    progressed(ms) {
      if (running === undefined) return;
      running.leftMs = Math.max(0, running.leftMs - ms);
      owedMs = Math.max(0, owedMs - ms);
      updateHold();
    },
    preceded(expectedMs, share) {
      if (running === undefined) return;
      owedMs += (expectedMs * share) / (1 - share);
      updateHold();
    },
  };
}
