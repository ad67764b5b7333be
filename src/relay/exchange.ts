/**
 * One HTTP exchange with a backend server. Reports reliably whether the server can have received any
 * part of the request, and never reports a truncated answer as complete: an answer without a length
 * is complete only if its connection was closed in order.
 *
 * Uses `node:http` because undici treats a reset during an answer without a length as its end.
 */
import {
  request as startRequest,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import { CONNECT_TIMEOUT_MS, onResetAtEnd, type WatchedExchange } from '../paths/index.js';
import { boundHead } from '../ports/bounded-head.js';
import type { Clock } from '../task/index.js';
import { readNextAnswer, readRest } from './next-answer.js';
import type { AnswerFacts } from './protocol.js';

/** Answers to other requests that are read past until the one that is due. */
const MAX_ANSWERS_OF_OTHERS = 4;

/** Least status of an answer: a head below it announces one, or leads to another protocol. */
const MIN_STATUS = 200;

/** Time within which the rest of an answer has to come for its connection to be used again, in ms. */
const DISCARD_MS = 1_000;

/** A request to a backend server. */
export interface OutgoingRequest {
  /** `host:port`. */
  address: string;
  method: string;
  path: string;
  /** Alternating names and values, as on the wire. */
  rawHeaders: readonly string[];
  body: Buffer | undefined;
  /** Decodes the answer; `undefined` for one that belongs to another request, of which nothing is used. */
  readAnswer(head: AnswerHead): AnswerFacts | undefined;
  /** The rest of an answer that was of no use did not end, so its connection was closed. */
  restAbandoned(reason: string): void;
  /** Called right before sending; returns a reason not to send to this server now, if there is one. */
  withholdReason?: (() => string | undefined) | undefined;
  /**
   * Watches the path to the server from when the request is sent.
   *
   * @param abandon ends the exchange because the path is lost
   */
  watchPath?: ((abandon: () => void) => WatchedExchange) | undefined;
}

/** The head of an answer. */
export interface AnswerHead {
  status: number;
  /** Alternating names and values, as on the wire. */
  rawHeaders: readonly string[];
  headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Why an exchange ended without a complete answer. */
export interface ExchangeError {
  /** False only if the server certainly received no part of the request. */
  sent: boolean;
  /** Whether nothing was sent because `withholdReason` returned a reason. */
  isWithheld: boolean;
  /** Whether this side aborted the exchange. */
  aborted: boolean;
  /** Whether the path to the server was lost, which says nothing of the server. */
  isPathLost: boolean;
  reason: string;
}

/** Receives an answer as it arrives. Either `onEnd` or `onError` is called, once and last. */
export interface ExchangeReceiver {
  onHead(head: AnswerHead, facts: AnswerFacts): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(loss: ExchangeError): void;
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection; the receiver is not called again. */
  abort(): void;
  /** Ends the exchange where the rest of its answer is of no use; the receiver is not called again. The connection can be
   * used again if the rest is short and comes soon, and is closed otherwise. */
  discard(): void;
  /** False only if the server certainly received no part of the request. */
  isSent(): boolean;
  pause(): void;
  resume(): void;
}

/**
 * Starts an exchange.
 *
 * @param request the request and the server's address
 * @param agent connections to that server
 * @param clock for the connect timeout
 * @param receiver receives the answer
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
  let watched: WatchedExchange | undefined;
  let answersOfOthers = 0;

  const outgoing = startRequest({
    host,
    port: Number(port),
    method: request.method,
    path: request.path,
    agent,
    setHost: false,
    headers: request.rawHeaders as never,
  });
  /** Where the answer comes from: the request, or the rest of its connection after an answer to another one. */
  let source = outgoing;
  const connectTimer = clock.after(CONNECT_TIMEOUT_MS, () => {
    fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`);
    outgoing.destroy();
  });

  function finish(): void {
    finished = true;
    connectTimer.cancel();
    watched?.ended();
  }

  function fail(reason: string, isPathLost = false): void {
    if (finished) return;
    finish();
    receiver.onError({ sent, isWithheld: false, aborted: false, isPathLost, reason });
  }

  function abandon(): void {
    fail('the path to the server was lost', true);
    source.destroy();
  }

  /** The server may have begun to leave or pause while the request waited for a connection. */
  function withhold(): boolean {
    const reason = request.withholdReason?.();
    if (finished) return true;
    if (reason === undefined) return false;
    finish();
    receiver.onError({ sent: false, isWithheld: true, aborted: false, isPathLost: false, reason });
    outgoing.destroy();
    return true;
  }

  function connected(): void {
    if (withhold()) return;
    sent = true;
    connectTimer.cancel();
    if (!finished) watched = request.watchPath?.(abandon);
  }

  outgoing.on('socket', (socket) => {
    if (socket.connecting) socket.once('connect', connected);
    else connected();
  });

  function listen(listened: ClientRequest): void {
    source = listened;
    boundHead(listened, (reason) => {
      fail(reason);
      listened.destroy();
    });
    listened.on('error', (error: NodeJS.ErrnoException) => {
      if (listened !== source || answer?.complete === true) return;
      fail(error.code ?? error.message);
      listened.destroy();
    });
    listened.on('response', receive);
    listened.on('close', () => {
      if (listened === source) fail('the connection was closed');
    });
  }

  function receive(response: IncomingMessage): void {
    if (finished) {
      response.destroy();
      return;
    }
    watched?.heard();
    const { statusCode: status = 0, rawHeaders, headers } = response;
    if (status < MIN_STATUS) {
      fail(`status ${status} is no answer`);
      response.destroy();
      return;
    }
    const head: AnswerHead = { status, rawHeaders, headers };
    const facts = request.readAnswer(head);
    if (facts === undefined) readPast(response);
    else receiveOwn(response, head, facts);
  }

  function readPast(other: IncomingMessage): void {
    answersOfOthers += 1;
    if (answersOfOthers > MAX_ANSWERS_OF_OTHERS) {
      fail('the answer belongs to another request');
      other.destroy();
      return;
    }
    readNextAnswer(other, request.method, {
      onNext(next) {
        listen(next);
        if (finished) next.destroy();
      },
      onLost(reason) {
        fail(reason);
      },
    });
  }

  function receiveOwn(response: IncomingMessage, head: AnswerHead, facts: AnswerFacts): void {
    answer = response;
    if (isEndedByClose(response)) {
      onResetAtEnd(response.socket, () => {
        fail('ECONNRESET');
      });
    }
    receiver.onHead(head, facts);
    response.on('data', (chunk: Buffer) => {
      if (finished) return;
      watched?.heard();
      receiver.onData(chunk);
    });
    response.on('end', () => {
      if (finished) return;
      if (!response.complete) {
        fail('the answer ended early');
        return;
      }
      finish();
      receiver.onEnd();
    });
    response.on('error', (error: NodeJS.ErrnoException) => {
      fail(error.code ?? error.message);
    });
    response.on('close', () => {
      fail('the answer ended early');
    });
  }

  listen(outgoing);
  if (request.body !== undefined && request.body.length > 0) outgoing.end(request.body);
  else outgoing.end();

  return {
    abort() {
      if (finished) return;
      finish();
      source.destroy();
    },
    discard() {
      if (finished) return;
      finish();
      if (answer !== undefined) discardRest(answer, clock, request);
    },
    isSent: () => sent,
    pause() {
      answer?.pause();
    },
    resume() {
      answer?.resume();
    },
  };
}

function discardRest(
  answer: IncomingMessage,
  clock: Clock,
  request: Pick<OutgoingRequest, 'restAbandoned'>,
): void {
  function abandon(reason: string): void {
    if (answer.destroyed) return;
    answer.destroy();
    request.restAbandoned(reason);
  }
  const timer = clock.after(DISCARD_MS, () => {
    abandon(`it had not ended after ${DISCARD_MS} ms`);
  });
  readRest(answer, () => {
    abandon('it was too large');
  });
  answer.on('close', () => {
    timer.cancel();
  });
}

/** Whether the answer is delimited by the close of its connection. */
export function isEndedByClose({ headers }: Pick<AnswerHead, 'headers'>): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
