/**
 * The answer to one caller: a backend server's answer, forwarded, or a refusal or failure from the
 * gateway itself. An answer that has begun and cannot be completed is aborted by closing its
 * connection, so that the caller can detect the truncation. Nothing else answers a request that
 * was read, so that a promise that it did not run is made only as its run record allows.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerHead } from './exchange.js';
import {
  mayPassOn,
  resolveOwnAnswer,
  type Ending,
  type ImproperStatus,
  type OwnAnswer,
} from './final-answer.js';
import type { BackendProtocol } from './protocol.js';
import { createRunRecord, type RunRecord } from './run-record.js';

/** How the answer to a caller ended. */
export type AnswerEnd = 'finished' | 'cut' | 'caller-left';

/** A backend server's failure. */
export interface ServerFailure {
  head: AnswerHead;
  body: Buffer;
}

/** The answer to one caller. */
export interface CallerAnswer {
  /** Whether the request ran, which decides what its caller may be told. */
  run: RunRecord;
  isBegun(): boolean;
  isEnded(): boolean;
  /**
   * Forwards the status and headers of a server's success.
   *
   * @param isLengthFixed false where another server may go on with the body, which then has another length
   */
  begin(head: AnswerHead, isLengthFixed: boolean): void;
  /** Forwards bytes; false if the caller's connection is full: wait for `onDrain`. */
  write(bytes: Buffer): boolean;
  /** Calls back whenever bytes were written to the caller's connection. */
  onWritten(written: () => void): void;
  /** Calls back once, when the caller's connection has drained. */
  onDrain(resume: () => void): void;
  finish(): void;
  /** Closes the connection without completing the answer. */
  abort(): void;
  /**
   * Forwards a server's failure, unless the caller would take it for a promise that does not hold.
   *
   * @param mayRepeat whether the request may run again
   * @returns whether it was forwarded; if not, nothing was sent
   */
  passOn(failure: ServerFailure, mayRepeat: boolean): boolean;
  /**
   * Sends the gateway's own answer to a request that has none of a server; sends nothing once an answer has begun.
   *
   * @returns what the caller is told
   */
  end(ending: Ending): OwnAnswer;
  /** Rejects a request that no server may be given; does nothing once an answer has begun. */
  reject(status: ImproperStatus, message: string): void;
}

/**
 * Creates the answer to one request.
 *
 * @param response the response of the HTTP server
 * @param protocol the wire protocol of callers
 * @param requestId the caller's id for this attempt
 * @param isClosing whether the connection closes after this answer
 */
export function createCallerAnswer(
  response: ServerResponse,
  protocol: BackendProtocol,
  requestId: string | undefined,
  isClosing: () => boolean,
): CallerAnswer {
  const run = createRunRecord();
  let begun = false;
  let ended = false;
  let written: (() => void) | undefined;
  response.sendDate = false;
  response.on('error', () => {
    ended = true;
  });

  function writeHead(status: number, headers: string[]): void {
    if (isClosing()) headers.push('Connection', 'close');
    response.writeHead(status, headers);
  }

  function begin(head: AnswerHead, isLengthFixed: boolean): void {
    if (begun || ended) return;
    begun = true;
    writeHead(head.status, protocol.answerHeaders(head, isLengthFixed));
  }

  function write(bytes: Buffer): boolean {
    if (ended) return true;
    const hasRoom = response.write(bytes);
    written?.();
    return hasRoom;
  }

  function finish(): void {
    if (ended) return;
    ended = true;
    response.end();
  }

  function sendOwn(status: number, message: string, retryAfterMs?: number): void {
    if (begun || ended) return;
    begun = true;
    ended = true;
    const body = Buffer.from(`${message}\n`);
    const headers = protocol.refusalHeaders(requestId, retryAfterMs);
    writeHead(status, [...headers, 'Content-Length', String(body.length)]);
    response.end(body);
  }

  return {
    run,
    isBegun: () => begun,
    isEnded: () => ended || response.destroyed,
    begin,
    write,
    onWritten(listener) {
      written = listener;
    },
    onDrain(resume) {
      response.once('drain', resume);
    },
    finish,
    abort() {
      if (ended) return;
      ended = true;
      response.destroy();
    },
    passOn({ head, body }, mayRepeat) {
      if (!mayPassOn(head.status, mayRepeat, protocol)) return false;
      begin(head, true);
      write(body);
      finish();
      return true;
    },
    end(ending) {
      const own = resolveOwnAnswer(run.state(), ending);
      sendOwn(own.status, own.message, own.retryAfterMs);
      return own;
    },
    reject: sendOwn,
  };
}
