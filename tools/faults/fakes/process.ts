/**
 * A process as the faults see it: it can be killed, and it can be paused, which holds back its
 * timers, what it sends and what arrives for it, while its monotonic clock goes on.
 */
import type { Clock, RandomSource } from '../../../src/task/index.js';
import type { VirtualTime } from './virtual-time.js';

/** One run of a program. */
export interface FakeProcess {
  readonly name: string;
  readonly clock: Clock;
  isDead(): boolean;
  isPaused(): boolean;
  /** When the last pause ended; `-Infinity` before the first. */
  resumedAt(): number;
  /** Does something in the process: now, after its pause, or never. */
  perform(action: () => void): void;
  pause(): void;
  resume(): void;
  kill(): void;
  /** Hears of the kill. */
  onKill(action: () => void): void;
}

interface Held {
  isTimer: boolean;
  action: () => void;
}

/**
 * Starts a process.
 *
 * @param name whose process it is
 * @param time the time it lives in
 * @param random decides whether timers or arrivals go first after a pause
 */
export function createFakeProcess(
  name: string,
  time: VirtualTime,
  random: RandomSource,
): FakeProcess {
  let state: 'running' | 'paused' | 'dead' = 'running';
  let held: Held[] = [];
  let resumedAt = -Infinity;
  const mourners: (() => void)[] = [];

  function enter(isTimer: boolean, action: () => void): void {
    if (state === 'running') action();
    else if (state === 'paused') held.push({ isTimer, action });
  }

  /** What fell due during a pause: timers and arrivals in one order or the other. */
  function release(): void {
    const waiting = held;
    held = [];
    if (random.next() < 0.5) waiting.sort((a, b) => Number(b.isTimer) - Number(a.isTimer));
    for (const { isTimer, action } of waiting) {
      time.after(0, () => {
        enter(isTimer, action);
      });
    }
  }

  return {
    name,
    clock: {
      now: () => time.now(),
      after(delayMs, action) {
        let isCancelled = false;
        const timer = time.after(delayMs, () => {
          enter(true, () => {
            if (!isCancelled) action();
          });
        });
        return {
          cancel: () => {
            isCancelled = true;
            timer.cancel();
          },
        };
      },
    },
    isDead: () => state === 'dead',
    isPaused: () => state === 'paused',
    resumedAt: () => resumedAt,
    perform(action) {
      enter(false, action);
    },
    pause() {
      if (state === 'running') state = 'paused';
    },
    resume() {
      if (state !== 'paused') return;
      state = 'running';
      resumedAt = time.now();
      release();
    },
    kill() {
      if (state === 'dead') return;
      state = 'dead';
      held = [];
      for (const mourn of mourners) mourn();
    },
    onKill(action) {
      mourners.push(action);
    },
  };
}
