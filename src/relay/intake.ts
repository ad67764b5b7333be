/**
 * Takes callers' requests in as far as there is memory for them. A request that finds none is refused before its body is
 * read; one that was taken in keeps what it was granted until its answer has gone out. A body that does not come within its
 * request's time limit gives its memory back.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryBudget } from '../memory/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock, RandomSource } from '../task/index.js';
import {
  readCallerBody,
  readDeclaredBytes,
  resolveFirstBytes,
  type BodyDefect,
  type BodySize,
} from './caller-body.js';
import type { CallerHead } from './protocol.js';

/** Memory of a request beside its body, and of the part of its answer that is read ahead, in bytes. */
const REQUEST_BYTES = 32 * 1024;
/** Longest Retry-After, in ms, also for callers that do not say for how long they wait; at least half of it is told. */
const MAX_RETRY_MS = 1_000;
/** Longest Retry-After, as a share of the time that the caller waits, so that it can still be served then. */
const MAX_RETRY_SHARE = 0.3;
/** Time within which a body has to come where its request has no limit, in ms. */
const DEFAULT_LIMIT_MS = 60_000;

/** Dependencies of the intake. */
export interface IntakeParts {
  clock: Clock;
  random: RandomSource;
  metrics: Pick<GatewayMetrics, 'refusals'>;
  memory: MemoryBudget;
  /** Longest time that the route of a request allows it, in ms; `undefined` if it has no route. */
  routeLimitMs(host: string, path: string): number | undefined;
}

/** Why there is no body to pass on. */
export type IntakeDefect = BodyDefect | 'late';

/** A request that was taken in. */
export interface TakenRequest {
  isTaken: true;
  /**
   * Reads its body.
   *
   * @param arrivedAt when the request arrived, in ms on the clock
   */
  readBody(arrivedAt: number): Promise<Buffer | IntakeDefect | undefined>;
  /** The body is of no more use. */
  releaseBody: () => void;
  /** Counts what waits for the caller to read it. */
  answerWritten: () => void;
}

/** A request for which there is no memory. */
export interface RefusedRequest {
  isTaken: false;
  /** When to come back, in ms. */
  retryAfterMs: number;
}

/** Takes requests in. */
export interface Intake {
  /**
   * Takes a request in, or refuses it.
   *
   * @param request the request, of which the head was read
   * @param response its response, whose close gives back what it holds
   * @param head its head, decoded
   * @param maxBodyBytes largest size of a body
   */
  take(
    request: IncomingMessage,
    response: ServerResponse,
    head: CallerHead,
    maxBodyBytes: number,
  ): TakenRequest | RefusedRequest;
}

/**
 * Creates the intake of a gateway.
 *
 * @param parts the memory and the routes' limits
 */
export function createIntake(parts: IntakeParts): Intake {
  const { clock, random, metrics, memory } = parts;

  function refuse(waitMs: number | undefined): RefusedRequest {
    metrics.refusals.inc({ reason: 'memory' });
    const mostMs = Math.min(MAX_RETRY_MS, (waitMs ?? Number.POSITIVE_INFINITY) * MAX_RETRY_SHARE);
    return { isTaken: false, retryAfterMs: mostMs * (0.5 + 0.5 * random.next()) };
  }

  function resolveLimitMs({ host, waitMs }: CallerHead, path: string): number {
    const routeMs = parts.routeLimitMs(host, path) ?? DEFAULT_LIMIT_MS;
    return Math.min(routeMs, waitMs ?? routeMs);
  }

  function grant(
    request: IncomingMessage,
    response: ServerResponse,
    head: CallerHead,
    size: BodySize,
  ): TakenRequest {
    const own = memory.hold({ holder: 'requests', bytes: REQUEST_BYTES });
    const answer = memory.hold({ holder: 'answers', bytes: 0 });
    const body = memory.hold({ holder: 'bodies', bytes: resolveFirstBytes(size) });
    response.on('close', () => {
      own.release();
      answer.release();
    });

    function countWaiting(): void {
      answer.set(response.writableLength);
    }
    response.on('drain', countWaiting);

    return {
      isTaken: true,
      async readBody(arrivedAt) {
        const read = readCallerBody(request, {
          ...size,
          share: body,
          mayGrow: memory.hasRoom,
        });
        const leftMs = arrivedAt + resolveLimitMs(head, request.url ?? '/') - clock.now();
        let timer: ReturnType<Clock['after']> | undefined;
        const late = new Promise<'late'>((resolve) => {
          timer = clock.after(Math.max(0, leftMs), () => {
            resolve('late');
          });
        });
        const outcome = await Promise.race([read.bytes, late]);
        timer?.cancel();
        if (outcome === 'late') read.giveUp();
        return outcome;
      },
      releaseBody: body.release,
      answerWritten: countWaiting,
    };
  }

  return {
    take(request, response, head, maxBodyBytes) {
      const size = { declaredBytes: readDeclaredBytes(request), maxBytes: maxBodyBytes };
      const bytes = REQUEST_BYTES + resolveFirstBytes(size);
      if (!memory.hasRoom(bytes)) return refuse(head.waitMs);
      return grant(request, response, head, size);
    },
  };
}
