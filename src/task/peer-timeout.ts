/**
 * Waiting for others without taking the own process's standstill for their silence. After a freeze or
 * a long turn of the event loop, timers that have come due run before the messages that arrived in the
 * meantime are read; a verdict on a peer must wait until those were read.
 */
import type { Clock, Timer } from './clock.js';

/** A timer that fires this much late shows that the process itself stood still, in ms: well above
 * what timers are late by on a busy machine. */
const OWN_DELAY_MS = 25;
/** Time that is given then to read what has arrived, in ms: a few turns of the event loop. */
const CATCH_UP_MS = 25;

/**
 * Calls `action` once a peer has been silent for `delayMs`, or a little later where this process
 * stood still at that moment.
 *
 * @param clock the clock to wait on
 * @param delayMs how long the peer may be silent, in milliseconds
 * @param action draws the conclusion
 */
export function setPeerTimeout(clock: Clock, delayMs: number, action: () => void): Timer {
  const dueAt = clock.now() + delayMs;
  let timer = clock.after(delayMs, () => {
    if (clock.now() - dueAt > OWN_DELAY_MS) timer = clock.after(CATCH_UP_MS, action);
    else action();
  });
  return {
    cancel() {
      timer.cancel();
    },
  };
}
