/**
 * A clock whose timers cannot end the process: what one of them throws concerns the request or the
 * engine that it was set for, and a process serves hundreds of others besides.
 */
import type { Clock } from './clock.js';

/**
 * Wraps a clock.
 *
 * @param clock the clock
 * @param failed hears what a timer's action threw
 */
export function createGuardedClock(clock: Clock, failed: (error: unknown) => void): Clock {
  return {
    now: () => clock.now(),
    after: (delayMs, action) =>
      clock.after(delayMs, () => {
        try {
          action();
        } catch (error) {
          failed(error);
        }
      }),
  };
}
