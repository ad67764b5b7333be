/**
 * The time limit of one request, from its arrival. It is kept by a timer and by whoever asks: a busy event loop may have
 * no turn for the timer before the next step of the request.
 */
import type { Clock, Timer } from '../task/index.js';

/** The time limit of one request. */
export interface TimeLimit {
  /** Aborted once the limit is reached, or the request was ended before. */
  readonly signal: AbortSignal;
  /** Time since the request arrived, in ms. */
  elapsedMs: () => number;
  /** Time until the limit, in ms; negative once it has passed. */
  leftMs: () => number;
  /** Whether the limit is reached or the request was ended; aborts the signal if the timer is late. */
  isOver: () => boolean;
  /** Whether the limit was reached before the request was ended. */
  isReached: () => boolean;
  /** Ends the request before its limit. */
  end: () => void;
  /** Starts the timer of the limit. */
  start(): Timer;
}

/**
 * Creates the time limit of a request.
 *
 * @param clock the gateway's clock
 * @param arrivedAt when the request arrived, in ms on that clock
 * @param limitMs how long it may take, in ms
 */
export function createTimeLimit(clock: Clock, arrivedAt: number, limitMs: number): TimeLimit {
  const controller = new AbortController();
  const { signal } = controller;
  let isReached = false;

  function leftMs(): number {
    return arrivedAt + limitMs - clock.now();
  }

  function reach(): void {
    isReached ||= !signal.aborted;
    controller.abort();
  }

  return {
    signal,
    elapsedMs: () => clock.now() - arrivedAt,
    leftMs,
    isOver() {
      if (leftMs() <= 0) reach();
      return signal.aborted;
    },
    isReached: () => isReached,
    end() {
      controller.abort();
    },
    start: () => clock.after(leftMs(), reach),
  };
}
