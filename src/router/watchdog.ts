/**
 * Ends a stream that gives nothing for too long, or no first token by the deadline, and with the
 * caller's own signal.
 */
import type { Clock } from '../task/index.js';

/** A reason of its own, because the platform's default one costs a stack trace for each stream. */
const ENDED = 'the stream is no longer wanted';

/** How long a stream may be silent. */
export interface StreamLimits {
  /** Longest time without anything, in milliseconds. */
  idleTimeoutMs: number;
  /** When something must have come at all, on the clock. */
  firstTokenBy: number;
}

/** Watches one stream. */
export interface Watchdog {
  /** Aborts when the stream is to end. */
  signal: AbortSignal;
  /** Something came. */
  touch(): void;
  /** Whether the stream ended because nothing came. */
  hasFired(): boolean;
  /** Ends the stream, where it has not ended by itself. */
  stop(): void;
}

/**
 * Starts to watch a stream.
 *
 * @param clock the clock to wait on
 * @param patience how long it may be silent
 * @param outer the caller's signal
 */
export function createWatchdog(clock: Clock, patience: StreamLimits, outer: AbortSignal): Watchdog {
  const { idleTimeoutMs: limitMs, firstTokenBy } = patience;
  const controller = new AbortController();
  let lastTouch = clock.now();
  let due = Math.min(lastTouch + limitMs, firstTokenBy);
  let fired = false;
  const abort = () => {
    controller.abort(ENDED);
  };
  if (outer.aborted) abort();
  outer.addEventListener('abort', abort, { once: true });
  let timer = clock.after(due - lastTouch, check);

  function check(): void {
    const now = clock.now();
    if (now < due) {
      timer = clock.after(due - now, check);
      return;
    }
    fired = true;
    abort();
  }

  return {
    signal: controller.signal,
    touch() {
      lastTouch = clock.now();
      due = lastTouch + limitMs;
    },
    hasFired: () => fired,
    stop() {
      timer.cancel();
      outer.removeEventListener('abort', abort);
      abort();
    },
  };
}
