/**
 * What the soak's servers do in spans, which a seed draws: they fail after a run with a status that promises callers the
 * opposite, have few places and decline what comes beyond these, and send answers a second time, late, where the answer
 * to the next request on the connection is due.
 */
import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RandomSource } from '../../src/task/index.js';

/** Statuses that tell a caller that its request did not run, and that a server gives after a run. */
const FAILURES = [408, 429, 503] as const;
/** Part of the runs that fail, of which each span draws one. */
const FAILED_SHARES = [0.2, 0.5, 1] as const;
/** Part of these failures that are signed, and part that ask for a pause. */
const SIGNED_SHARE = 0.5;
const PAUSE_SHARE = 0.5;
/** Longest pause that they ask for, in seconds. */
const PAUSE_S = 0.2;
/** Part of the spans in which servers fail, are full and answer twice, each by itself. */
const FAILING_SHARE = 0.5;
const FULL_SHARE = 0.6;
const TWICE_SHARE = 0.7;
/** Requests that a server runs at a time while it has few places. */
const PLACES = 2;
/** Least time of a run meanwhile, and what is added at most, in ms. */
const RUN_MS = { least: 40, more: 120 } as const;
/** Part of the answers that come a second time. */
const REPEATED_SHARE = 0.3;

/** An answer whose body is known beforehand. */
export interface WholeAnswer {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/** How often servers did what spans are for. */
export interface SpanCounts {
  /** Failures after a run, by their status. */
  failed: number;
  /** Requests declined because all places were taken. */
  full: number;
  /** Answers sent a second time where another one was due. */
  repeated: number;
}

/** Servers that behave by spans. */
export interface SpanServers {
  counts: SpanCounts;
  /** Draws what servers do from now on. */
  draw(): void;
  /** Servers do nothing of it from now on. */
  end(): void;
  /** Whether servers have few places, so that callers are to press. */
  arePressed(): boolean;
  /** Whether a server has no place left. */
  isFull(server: string): boolean;
  /** Takes a place of a server until its answer has ended; calls back when its run is over. */
  run(server: string, response: ServerResponse, ended: () => void): void;
  /** A failure of a request that ran, without its id and signature; `undefined` where the run succeeds. */
  drawFailure(): { status: number; isSigned: boolean; headers: Record<string, string> } | undefined;
  /** Sends what is to come a second time on the connection of an answer; called before that answer. */
  repeatDue(requestId: string, response: ServerResponse): void;
  /** An answer is sent; it may come a second time. */
  answered(requestId: string, response: ServerResponse, answer: WholeAnswer): void;
}

/**
 * Creates servers that behave as usual until spans are drawn.
 *
 * @param spanRandom draws the spans; for nothing else, so that a seed has the same ones in each run
 * @param random draws single answers
 */
export function createSpanServers(spanRandom: RandomSource, random: RandomSource): SpanServers {
  const counts: SpanCounts = { failed: 0, full: 0, repeated: 0 };
  const taken = new Map<string, number>();
  const due = new WeakMap<Socket, { requestId: string; bytes: string }>();
  let failedShare = 0;
  let isPressed = false;
  let repeatedShare = 0;

  function pick<Item>(source: RandomSource, items: readonly Item[]): Item | undefined {
    return items[Math.floor(source.next() * items.length)];
  }

  function change(server: string, by: number): void {
    taken.set(server, (taken.get(server) ?? 0) + by);
  }

  return {
    counts,
    draw() {
      const share = pick(spanRandom, FAILED_SHARES) ?? 0;
      failedShare = spanRandom.next() < FAILING_SHARE ? share : 0;
      isPressed = spanRandom.next() < FULL_SHARE;
      repeatedShare = spanRandom.next() < TWICE_SHARE ? REPEATED_SHARE : 0;
    },
    end() {
      failedShare = 0;
      isPressed = false;
      repeatedShare = 0;
    },
    arePressed: () => isPressed,
    isFull(server) {
      const isFull = isPressed && (taken.get(server) ?? 0) >= PLACES;
      if (isFull) counts.full += 1;
      return isFull;
    },
    run(server, response, ended) {
      if (!isPressed) {
        ended();
        return;
      }
      change(server, 1);
      response.on('close', () => {
        change(server, -1);
      });
      setTimeout(
        () => {
          if (!response.destroyed) ended();
        },
        RUN_MS.least + RUN_MS.more * random.next(),
      );
    },
    drawFailure() {
      if (failedShare === 0 || random.next() >= failedShare) return undefined;
      counts.failed += 1;
      const pauses = random.next() < PAUSE_SHARE;
      return {
        status: pick(random, FAILURES) ?? 503,
        isSigned: random.next() < SIGNED_SHARE,
        headers: pauses ? { 'Retry-After': (PAUSE_S * random.next()).toFixed(3) } : {},
      };
    },
    repeatDue(requestId, { socket }) {
      const earlier = socket === null ? undefined : due.get(socket);
      if (socket === null || earlier === undefined) return;
      due.delete(socket);
      // a request that comes again on its connection cannot tell the two answers apart
      if (earlier.requestId === requestId) return;
      counts.repeated += 1;
      socket.write(earlier.bytes);
    },
    answered(requestId, { socket }, answer) {
      if (socket === null || repeatedShare === 0 || random.next() >= repeatedShare) return;
      due.set(socket, { requestId, bytes: renderAnswer(answer) });
    },
  };
}

function renderAnswer({ status, headers, body }: WholeAnswer): string {
  const all = { ...headers, 'Content-Length': String(Buffer.byteLength(body)) };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${lines.join('')}\r\n${body}`;
}
