/**
 * When requests arrived, as opposed to when they were read. A busy event loop leaves new connections in the queue of the
 * kernel, and bytes of open ones unread; time limits have to count that wait. The exact moment is unknown: it is taken to
 * lie in the middle of the time in which it may have been.
 */
import type { Socket } from 'node:net';
import type { BoundedLog } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock } from '../task/index.js';
import { createTurns, type EventLoop, type Turn } from './turns.js';

/** Wait before reading from which it is logged that requests wait, in ms. */
const LONG_WAIT_MS = 100;
/** Least time between two such lines, in ms. */
const LONG_WAIT_LINE_MS = 1_000;

/** Dependencies of the arrivals. */
export interface ArrivalsParts extends EventLoop {
  clock: Clock;
  log: Pick<BoundedLog, 'write'>;
  metrics: Pick<GatewayMetrics, 'readDelay' | 'turns' | 'connectionsAccepted'>;
}

/** Times at which requests arrived. */
export interface Arrivals {
  /** A caller's connection was accepted. */
  accepted(socket: Socket): void;
  /** The queue of connections that wait to be accepted was seen empty. */
  queueEmptied: () => void;
  /**
   * The head of a request was read.
   *
   * @param socket its connection
   */
  requestRead(socket: Socket): Arrival;
}

/** A request that was just read. */
export interface Arrival {
  /** When it arrived, by estimate, in ms on the clock. */
  at: number;
  /** How long it waited to be read, in ms. */
  waitedMs: number;
  /** When the event loop was idle last, in ms on the clock. */
  idleAt: number;
  /** How long callers have been read in this turn of the event loop, in ms; 0 for the first one. */
  turnMs: number;
}

/** The time in which something arrived, in ms on the clock. */
interface Span {
  since: number;
  until: number;
}

/** An accepted connection whose first request was not read yet. */
interface NewConnection extends Span {
  turn: number;
}

/**
 * Creates the arrivals of one listening address.
 *
 * @param parts the clock, the event loop and what hears of waits
 */
export function createArrivals(parts: ArrivalsParts): Arrivals {
  const { clock, log, metrics } = parts;
  const unread = new WeakMap<Socket, NewConnection>();
  const turns = createTurns({ ...parts, ended: turnEnded });
  /** When no connection waited to be accepted. */
  let emptyAt = clock.now();
  let acceptedInTurn = 0;
  let longestWaitMs = 0;
  let lineAt = Number.NEGATIVE_INFINITY;
  /** Number of the last turn in which a request was read, and when its first one was. */
  let lastReadIn = 0;
  let readingSince = 0;

  function turnEnded(turn: Turn, durationMs: number): void {
    metrics.turns.observe(durationMs / 1_000);
    if (acceptedInTurn === 0) emptyAt = Math.max(emptyAt, turn.startedAt);
    if (longestWaitMs >= LONG_WAIT_MS && clock.now() - lineAt >= LONG_WAIT_LINE_MS) {
      log.write('requestsWaitedUnread', {
        longestWaitMs: Math.round(longestWaitMs),
        turnMs: Math.round(durationMs),
        accepted: acceptedInTurn,
        queuedForMs: Math.round(clock.now() - emptyAt),
      });
      lineAt = clock.now();
      longestWaitMs = 0;
    }
    acceptedInTurn = 0;
  }

  /** The time in which a request that is read now has arrived. */
  function resolveSpan(socket: Socket, turn: Turn): Span {
    const connection = unread.get(socket);
    unread.delete(socket);
    const inTurn = { since: turn.since, until: clock.now() };
    if (connection === undefined) return inTurn;
    // what is read no later than in the turn after has waited with its connection, unless the loop was idle in between
    const isIdleBetween = turn.number > connection.turn && turn.wasIdle;
    const cameAtOnce = turn.number <= connection.turn + 1 && !isIdleBetween;
    return cameAtOnce ? connection : inTurn;
  }

  return {
    accepted(socket) {
      const turn = turns.current();
      if (acceptedInTurn === 0 && turn.wasIdle) emptyAt = turn.idleAt;
      acceptedInTurn += 1;
      metrics.connectionsAccepted.inc();
      unread.set(socket, { since: emptyAt, until: clock.now(), turn: turn.number });
    },
    queueEmptied() {
      emptyAt = clock.now();
    },
    requestRead(socket) {
      const turn = turns.current();
      const { since, until } = resolveSpan(socket, turn);
      const now = clock.now();
      const at = (since + until) / 2;
      const waitedMs = now - at;
      metrics.readDelay.observe(waitedMs / 1_000);
      longestWaitMs = Math.max(longestWaitMs, waitedMs);
      if (lastReadIn !== turn.number) readingSince = now;
      lastReadIn = turn.number;
      return { at, waitedMs, idleAt: turn.idleAt, turnMs: now - readingSince };
    },
  };
}
