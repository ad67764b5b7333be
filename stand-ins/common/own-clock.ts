/**
 * A stand-in's own view of a clock, so that nothing of it goes on after it was stopped.
 */
import type { Clock, Timer } from '../../src/task/index.js';

/** A clock whose timers can all be taken back. */
export interface OwnClock extends Clock {
  /** Takes back every timer; later ones never run. */
  stop(): void;
}

/** Creates a view of a clock. */
export function createOwnClock(clock: Clock): OwnClock {
  const timers = new Set<Timer>();
  let stopped = false;

  return {
    now: () => clock.now(),
    after(delayMs, action) {
      if (stopped) return { cancel: () => undefined };
      const timer = clock.after(delayMs, () => {
        timers.delete(timer);
        action();
      });
      timers.add(timer);
      return {
        cancel() {
          timers.delete(timer);
          timer.cancel();
        },
      };
    },
    stop() {
      stopped = true;
      for (const timer of timers) timer.cancel();
      timers.clear();
    },
  };
}
