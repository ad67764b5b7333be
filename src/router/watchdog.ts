/**
 * Aborts a stream that is idle for too long or has no first token by its deadline, or when the
 * caller's signal aborts.
 */
import type { Clock } from '../task/index.js';

/** A string, because the default abort reason captures a stack trace for each stream. */
const ABORT_REASON = 'stream closed';

export interface StreamLimits {
  /** Longest time without an item, in milliseconds. */
  idleTimeoutMs: number;
  /** When the first item is due at the latest, on the clock. */
  firstTokenBy: number;
}

export interface Watchdog {
  /** Aborts when a limit is exceeded, the caller's signal aborts, or the watchdog is stopped. */
  signal: AbortSignal;
  /** Resets the idle timeout. */
  touch(): void;
  /** Whether a limit was exceeded. */
  hasFired(): boolean;
  /** Cancels the timer and aborts `signal`, which ends a stream that is still open. */
  stop(): void;
}

/**
 * Starts watching a stream.
 *
 * @param clock the clock to wait on
 * @param limits how long the stream may be idle
 * @param outer the caller's signal
 */
export function createWatchdog(clock: Clock, limits: StreamLimits, outer: AbortSignal): Watchdog {
  const { idleTimeoutMs: limitMs, firstTokenBy } = limits;
  const controller = new AbortController();
  let lastTouch = clock.now();
  let due = Math.min(lastTouch + limitMs, firstTokenBy);
  let fired = false;
  const abort = () => {
    controller.abort(ABORT_REASON);
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
