/**
 * The answer to one caller: a backend server's answer, forwarded, or a refusal or failure from the
 * gateway itself. An answer that has begun and cannot be completed is aborted by closing its
 * connection, so that the caller can detect the truncation.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerHead } from './exchange.js';
import type { BackendProtocol } from './protocol.js';

/** How the answer to a caller ended. */
export type AnswerEnd = 'finished' | 'cut' | 'caller-left';

/** The answer to one caller. */
export interface CallerAnswer {
  isBegun(): boolean;
  isEnded(): boolean;
  /**
   * Forwards a server's status and headers.
   *
   * @param isLengthFixed false where another server may go on with the body, which then has another length
   */
  begin(head: AnswerHead, isLengthFixed: boolean): void;
  /** Forwards bytes; false if the caller's connection is full: wait for `onDrain`. */
  write(bytes: Buffer): boolean;
  /** Calls back once, when the caller's connection has drained. */
  onDrain(resume: () => void): void;
  finish(): void;
  /** Closes the connection without completing the answer. */
  abort(): void;
  /** Sends a refusal or failure of the gateway; does nothing once an answer has begun. */
  refuse(status: number, message: string, retryAfterMs?: number): void;
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
  let begun = false;
  let ended = false;
  response.sendDate = false;
  response.on('error', () => {
    ended = true;
  });

  function writeHead(status: number, headers: string[]): void {
    if (isClosing()) headers.push('Connection', 'close');
    response.writeHead(status, headers);
  }

  return {
    isBegun: () => begun,
    isEnded: () => ended || response.destroyed,
    begin(head, isLengthFixed) {
      if (begun || ended) return;
      begun = true;
      writeHead(head.status, protocol.answerHeaders(head, isLengthFixed));
    },
    write: (bytes) => ended || response.write(bytes),
    onDrain(resume) {
      response.once('drain', resume);
    },
    finish() {
      if (ended) return;
      ended = true;
      response.end();
    },
    abort() {
      if (ended) return;
      ended = true;
      response.destroy();
    },
    refuse(status, message, retryAfterMs) {
      if (begun || ended) return;
      begun = true;
      ended = true;
      const body = Buffer.from(`${message}\n`);
      const headers = protocol.refusalHeaders(requestId, retryAfterMs);
      writeHead(status, [...headers, 'Content-Length', String(body.length)]);
      response.end(body);
    },
  };
}
