/**
 * Turns of the event loop, as those who read from sockets see them. What is read in a turn has arrived since the turn
 * before began, or, if the loop was idle in between, since the end of that time.
 */
import { performance } from 'node:perf_hooks';
import type { Clock } from '../task/index.js';

/** Shortest time of waiting for events that counts as idle, in ms. */
const MIN_IDLE_MS = 0.05;

/** A turn of the event loop in which something was read. */
export interface Turn {
  /** Counts the turns in which something was read. */
  readonly number: number;
  /** When its first event was handled, in ms on the clock. */
  readonly startedAt: number;
  /** What is read in this turn arrived after this time, in ms on the clock. */
  readonly since: number;
  /** Whether the loop has been idle, waiting for events, since the turn before. */
  readonly wasIdle: boolean;
  /** When the loop was idle last, in ms on the clock: nothing was queued then. */
  readonly idleAt: number;
}

/** Follows the turns of the event loop. */
export interface Turns {
  /** Returns the present turn; begins it on the first call in a turn. */
  current: () => Turn;
}

/** An event loop. */
export interface EventLoop {
  /** Total time that the loop has been idle, in ms. */
  idleMs(): number;
  /** Calls back at the end of the present turn. */
  atTurnEnd(ended: () => void): void;
}

/** What the turns need. */
export interface TurnsParts extends EventLoop {
  clock: Clock;
  /** A turn has ended. */
  ended(turn: Turn, durationMs: number): void;
}

/** The event loop of this process. */
export const ownLoop: EventLoop = {
  idleMs: () => performance.nodeTiming.idleTime,
  atTurnEnd(ended) {
    setImmediate(ended);
  },
};

/**
 * Creates a follower of the turns.
 *
 * @param parts the clock and the event loop
 */
export function createTurns(parts: TurnsParts): Turns {
  const { clock } = parts;
  const createdAt = clock.now();
  let turn: Turn = {
    number: 0,
    startedAt: createdAt,
    since: createdAt,
    wasIdle: false,
    idleAt: createdAt,
  };
  let endedAt = createdAt;
  let isOpen = false;
  let idleMsBefore = parts.idleMs();

  function begin(): void {
    const now = clock.now();
    const idleMs = parts.idleMs() - idleMsBefore;
    const wasIdle = idleMs > MIN_IDLE_MS;
    // the loop may have worked on something else between its idle time and now
    const idleAt = wasIdle ? Math.min(now, endedAt + idleMs) : turn.idleAt;
    const since = wasIdle ? idleAt : turn.startedAt;
    turn = { number: turn.number + 1, startedAt: now, since, wasIdle, idleAt };
    idleMsBefore += idleMs;
    isOpen = true;
    parts.atTurnEnd(end);
  }

  function end(): void {
    isOpen = false;
    endedAt = clock.now();
    parts.ended(turn, endedAt - turn.startedAt);
  }

  return {
    current() {
      if (!isOpen) begin();
      return turn;
    },
  };
}
