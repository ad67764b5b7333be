/**
 * HTTP exchanges with one peer. It knows for certain whether a request could have reached the peer:
 * a request counts as sent from the moment at which it is about to be written on an established
 * connection. Nothing is retried and nothing is pipelined, so a kept-alive connection that dies
 * under a request loses that request and no other. Where an answer does not say whose it is, each exchange has a
 * connection of its own.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { Err, Ok, type Result } from 'ts-results-es';
import { Pool, type Dispatcher } from 'undici';
import type { Clock } from '../../task/index.js';
import { createBoundedBody } from '../bounded-body.js';

/** A request to the peer. */
export interface HttpRequest {
  method: string;
  /** Path and query, starting with `/`. */
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
}

/** The head of an answer. */
export interface AnswerHead {
  status: number;
  headers: IncomingHttpHeaders;
}

/** A whole answer. */
export interface HttpAnswer extends AnswerHead {
  body: Buffer;
}

/** Why there is no whole answer. */
export interface Loss {
  /** False only if the peer provably received nothing of the request. */
  sent: boolean;
  /** True when this side gave up. */
  aborted: boolean;
  reason: string;
}

/** Hears of an answer as it arrives; `onEnd` or `onLoss` comes last and once. */
export interface Receiver {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onLoss(loss: Loss): void;
}

/** One exchange under way. */
export interface Exchange {
  /** Gives up; the receiver hears of the loss before this returns, unless it was told already. */
  abort(reason: string): void;
  /** Stops reading from the connection. */
  pause(): void;
  /** Reads again. */
  resume(): void;
}

/** Limits of a whole exchange. */
export interface Patience {
  clock: Clock;
  timeoutMs: number;
  signal?: AbortSignal;
}

/** Exchanges with one peer over kept-alive connections. */
export interface HttpChannel {
  /** Starts an exchange whose answer is received piece by piece. */
  start(request: HttpRequest, receiver: Receiver): Exchange;
  /** Carries out a whole exchange. */
  ask(request: HttpRequest, patience: Patience): Promise<Result<HttpAnswer, Loss>>;
}

/** What a channel is made of. */
export interface ChannelTerms {
  /** Origin of the peer, as `http://127.0.0.1:7001`. */
  origin: string;
  /** Longest time that a connection may take to be made. */
  connectTimeoutMs?: number;
  /**
   * Whether every exchange has a connection of its own. An answer that comes late, or a second time, can then not be
   * taken for that of the next request; needed where answers do not say whose they are. False when absent.
   */
  separate?: boolean;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000;
/** Largest body of a whole answer, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Creates a channel. Idle connections close by themselves and do not keep the process alive.
 *
 * @param terms the peer and the limits
 */
export function createHttpChannel(terms: ChannelTerms): HttpChannel {
  const pool = new Pool(terms.origin, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: terms.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
  });

  const reset = terms.separate ?? false;

  function start(request: HttpRequest, receiver: Receiver): Exchange {
    return startExchange(pool, { ...request, reset }, receiver);
  }

  return {
    start,
    ask: (request, patience) => askWhole(start, request, patience),
  };
}

/** A request, and whether its connection ends with it. */
interface Sending extends HttpRequest {
  reset: boolean;
}

function startExchange(pool: Pool, request: Sending, receiver: Receiver): Exchange {
  let sent = false;
  let finished = false;
  let controller: Dispatcher.DispatchController | undefined;

  function lose(reason: string, aborted: boolean): void {
    if (finished) return;
    finished = true;
    receiver.onLoss({ sent, aborted, reason });
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      if (finished) {
        started.abort(new Error('given up before it was sent'));
        return;
      }
      controller = started;
      sent = true;
    },
    onResponseStart(_controller, status, headers) {
      if (!finished && status >= 200) receiver.onHead({ status, headers });
    },
    onResponseData(_controller, chunk) {
      if (!finished) receiver.onData(chunk);
    },
    onResponseEnd() {
      if (finished) return;
      finished = true;
      receiver.onEnd();
    },
    onResponseError(_controller, error) {
      lose(describeError(error), false);
    },
  };

  pool.dispatch(
    {
      method: request.method,
      path: request.path,
      headers: request.headers ?? null,
      body: request.body ?? null,
      reset: request.reset,
    },
    handler,
  );

  return {
    abort(reason) {
      lose(reason, true);
      controller?.abort(new Error(reason));
    },
    pause() {
      if (!finished) controller?.pause();
    },
    resume() {
      if (!finished) controller?.resume();
    },
  };
}

function describeError(error: Error): string {
  const code = 'code' in error ? String(error.code) : error.name;
  return error.message === '' ? code : `${code}: ${error.message}`;
}

function askWhole(
  start: HttpChannel['start'],
  request: HttpRequest,
  patience: Patience,
): Promise<Result<HttpAnswer, Loss>> {
  const { signal } = patience;
  if (signal?.aborted === true) {
    return Promise.resolve(Err({ sent: false, aborted: true, reason: 'cancelled' }));
  }
  return new Promise((resolve) => {
    const body = createBoundedBody(MAX_BODY_BYTES);
    let head: AnswerHead = { status: 0, headers: {} };

    const exchange = start(request, {
      onHead(received) {
        head = received;
      },
      onData(chunk) {
        if (!body.add(chunk)) exchange.abort(`the answer is larger than ${MAX_BODY_BYTES} bytes`);
      },
      onEnd() {
        settle(Ok({ ...head, body: body.bytes() }));
      },
      onLoss(loss) {
        settle(Err(loss));
      },
    });
    const timer = patience.clock.after(patience.timeoutMs, () => {
      exchange.abort(`no answer within ${patience.timeoutMs} ms`);
    });
    signal?.addEventListener('abort', cancel);

    function cancel(): void {
      exchange.abort('cancelled');
    }

    function settle(result: Result<HttpAnswer, Loss>): void {
      timer.cancel();
      signal?.removeEventListener('abort', cancel);
      resolve(result);
    }
  });
}
