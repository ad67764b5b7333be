/**
 * The answer to one caller: a backend server's answer passed on, or a refusal or failure of the
 * gateway's own. It is begun once; one that was begun and cannot be finished is cut, so that the
 * caller sees that it is not whole.
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
  /** Passes a server's status and headers on. */
  begin(head: AnswerHead): void;
  /** Passes bytes on; false when the caller reads too slowly to take more for now. */
  write(bytes: Buffer): boolean;
  /** Calls back once the caller takes bytes again. */
  onDrain(resume: () => void): void;
  finish(): void;
  /** Ends an answer that was begun without its proper end. */
  abort(): void;
  /** Answers on the gateway's own account. */
  refuse(status: number, message: string, retryAfterMs?: number): void;
}

/**
 * Creates the answer to one request.
 *
 * @param response the response of the HTTP server
 * @param protocol how callers speak
 * @param requestId the caller's id of the attempt
 * @param isClosing whether the connection is to end with this answer
 */
export function createCallerAnswer(
  response: ServerResponse,
  protocol: BackendProtocol,
  requestId: string | undefined,
  isClosing: () => boolean,
): CallerAnswer {
  let begun = false;
  let over = false;
  response.sendDate = false;
  response.on('error', () => {
    over = true;
  });

  function writeHead(status: number, headers: string[]): void {
    if (isClosing()) headers.push('Connection', 'close');
    response.writeHead(status, headers);
  }

  return {
    isBegun: () => begun,
    isEnded: () => over || response.destroyed,
    begin(head) {
      if (begun || over) return;
      begun = true;
      writeHead(head.status, protocol.answerHeaders(head));
    },
    write: (bytes) => over || response.write(bytes),
    onDrain(resume) {
      response.once('drain', resume);
    },
    finish() {
      if (over) return;
      over = true;
      response.end();
    },
    abort() {
      if (over) return;
      over = true;
      response.destroy();
    },
    refuse(status, message, retryAfterMs) {
      if (begun || over) return;
      begun = true;
      over = true;
      const body = Buffer.from(`${message}\n`);
      const headers = protocol.refusalHeaders(requestId, retryAfterMs);
      writeHead(status, [...headers, 'Content-Length', String(body.length)]);
      response.end(body);
    },
  };
}
