/**
 * One exchange with a backend server, as it happens on the wire. It tells for certain whether the
 * server can have received anything of the request, and never takes a broken answer for a whole
 * one: an answer without a length is complete only if its connection was closed in order.
 *
 * It uses `node:http` rather than undici because undici treats a reset during an answer without a
 * length as the end of that answer.
 */
import { request as startRequest, type Agent, type IncomingMessage } from 'node:http';
import type { Clock } from '../task/index.js';

/** Longest time for a connection to be made, in ms. A connection within a region takes a few; a
 * server that is silent must be found out early enough to ask another within the usual aims. */
const CONNECT_TIMEOUT_MS = 250;

/** A request as it goes to a backend server. */
export interface OutgoingRequest {
  /** `host:port`. */
  address: string;
  method: string;
  path: string;
  /** Names and values by turns, as on the wire. */
  rawHeaders: readonly string[];
  body: Buffer | undefined;
  /** Asked right before it goes out: why the server wants nothing now, if so. */
  withholdReason?: (() => string | undefined) | undefined;
}

/** The head of an answer. */
export interface AnswerHead {
  status: number;
  /** Names and values by turns, as on the wire. */
  rawHeaders: readonly string[];
  headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Why an exchange ended without a whole answer. */
export interface ExchangeError {
  /** False only if the server provably received nothing of the request. */
  sent: boolean;
  /** The server wants nothing now, so nothing was sent. */
  isWithheld: boolean;
  /** True when this end gave up. */
  aborted: boolean;
  reason: string;
}

/** Hears of an answer as it arrives; `onEnd` or `onLoss` comes last and once. */
export interface ExchangeReceiver {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(loss: ExchangeError): void;
}

/** An exchange under way. */
export interface Exchange {
  /** Gives up and closes the connection; the receiver hears nothing more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/**
 * Starts an exchange.
 *
 * @param request what to send and where
 * @param agent connections to that server
 * @param clock for the limit on connecting
 * @param receiver hears of the answer
 */
export function startExchange(
  request: OutgoingRequest,
  agent: Agent,
  clock: Clock,
  receiver: ExchangeReceiver,
): Exchange {
  const [host = '', port = ''] = request.address.split(':');
  let sent = false;
  let finished = false;
  let answer: IncomingMessage | undefined;

  const outgoing = startRequest({
    host,
    port: Number(port),
    method: request.method,
    path: request.path,
    agent,
    setHost: false,
    headers: request.rawHeaders as never,
  });
  const connectTimer = clock.after(CONNECT_TIMEOUT_MS, () => {
    lose(`no connection within ${CONNECT_TIMEOUT_MS} ms`);
    outgoing.destroy();
  });

  function lose(reason: string): void {
    if (finished) return;
    finished = true;
    connectTimer.cancel();
    receiver.onError({ sent, isWithheld: false, aborted: false, reason });
  }

  /** A request may have waited for its connection while the server came to want nothing. */
  function withhold(): boolean {
    const reason = request.withholdReason?.();
    if (reason === undefined || finished) return false;
    finished = true;
    connectTimer.cancel();
    receiver.onError({ sent: false, isWithheld: true, aborted: false, reason });
    outgoing.destroy();
    return true;
  }

  function connected(): void {
    if (withhold()) return;
    sent = true;
    connectTimer.cancel();
  }

  outgoing.on('socket', (socket) => {
    if (socket.connecting) socket.once('connect', connected);
    else connected();
  });
  outgoing.on('error', (error: NodeJS.ErrnoException) => {
    if (answer?.complete === true) return;
    lose(error.code ?? error.message);
    outgoing.destroy();
  });
  outgoing.on('response', (response) => {
    if (finished) {
      response.destroy();
      return;
    }
    answer = response;
    if (isEndedByClose(response)) watchForReset(response, lose);
    receiver.onHead({
      status: response.statusCode ?? 0,
      rawHeaders: response.rawHeaders,
      headers: response.headers,
    });
    response.on('data', (chunk: Buffer) => {
      if (!finished) receiver.onData(chunk);
    });
    response.on('end', () => {
      if (finished) return;
      if (!response.complete) {
        lose('the answer broke off');
        return;
      }
      finished = true;
      receiver.onEnd();
    });
    response.on('error', (error: NodeJS.ErrnoException) => {
      lose(error.code ?? error.message);
    });
    response.on('close', () => {
      lose('the answer broke off');
    });
  });
  outgoing.on('close', () => {
    lose('the connection was closed');
  });
  if (request.body !== undefined && request.body.length > 0) outgoing.end(request.body);
  else outgoing.end();

  return {
    abort() {
      if (finished) return;
      finished = true;
      connectTimer.cancel();
      outgoing.destroy();
      // errors that the close itself causes concern nobody
      outgoing.on('error', () => undefined);
    },
    pause() {
      answer?.pause();
    },
    resume() {
      answer?.resume();
    },
  };
}

/** Whether only the end of the connection tells where the answer ends. */
function isEndedByClose({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Tells a reset from an orderly close. Where a reset arrives together with data, libuv reports the
 * end of the stream instead of the error; a connection that was reset has no peer any more.
 */
function watchForReset({ socket }: IncomingMessage, lose: (reason: string) => void): void {
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) lose('ECONNRESET');
  });
}
