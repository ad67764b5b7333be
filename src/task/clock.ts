/**
 * Time, as decisions and tasks see it. Everything that measures a duration reads this monotonic
 * clock, never the wall clock, and tests put a fake one in its place.
 */

/** A timer that was set and can be taken back. */
export interface Timer {
  cancel(): void;
}

/** A monotonic clock with timers. Times are milliseconds since an arbitrary start. */
export interface Clock {
  now(): number;
  /** Calls `action` once after `delayMs`. */
  after(delayMs: number, action: () => void): Timer;
}

/** The process's own monotonic clock. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    after: (delayMs, action) => {
      const handle = setTimeout(action, Math.max(0, delayMs));
      return {
        cancel: () => {
          clearTimeout(handle);
        },
      };
    },
  };
}

/**
 * Waits on a clock.
 *
 * @param clock the clock to wait on
 * @param delayMs how long, in milliseconds
 */
export function wait(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}
