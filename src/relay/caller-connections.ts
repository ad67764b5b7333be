/**
 * What becomes of a caller's connection whose bytes cannot be read. The HTTP server reports them at once, while earlier
 * requests of the connection may still be at work: whatever is written then would be taken for the answer to one of
 * those. So the answers that are due go out first, and the connection closes behind the last one.
 */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Log } from '../events/index.js';

/** Answers where no other is due, by the code of the error. All of them end the connection. */
const answersByCode: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};
const MALFORMED = '400 Bad Request';

/** The connections of callers. */
export interface CallerConnections {
  /**
   * Takes in a request, whose answer is due until its response closes.
   *
   * @returns false on a connection that is answered for good: the request must not be passed on
   */
  requestStarted(socket: Duplex, response: ServerResponse): boolean;
  /** Bytes were no request, or a request did not come in time. */
  unreadable(socket: Duplex, error: NodeJS.ErrnoException): void;
  /** Whether requests can be read from a connection; what was cut off in one that cannot gets no answer. */
  isReadable(socket: Duplex): boolean;
  /** Whether a connection closes behind an answer that is due on it. */
  closesBehind(socket: Duplex, response: ServerResponse): boolean;
}

/** Creates a record without connections. */
export function createCallerConnections(log: Log): CallerConnections {
  const dueBySocket = new WeakMap<Duplex, Set<ServerResponse>>();
  /** Connections of which no further request is taken. */
  const unreadable = new WeakSet<Duplex>();

  function listDue(socket: Duplex): Set<ServerResponse> {
    const due = dueBySocket.get(socket) ?? new Set();
    dueBySocket.set(socket, due);
    return due;
  }

  /** Forgets the request whose own body is what cannot be read: no server has it, and it is never read in whole. */
  function dropUnread(due: Set<ServerResponse>): void {
    for (const response of due) {
      if (!response.req.complete) due.delete(response);
    }
  }

  function answer(socket: Duplex, code: string): void {
    const status = answersByCode[code] ?? MALFORMED;
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  return {
    requestStarted(socket, response) {
      if (unreadable.has(socket)) {
        // behind answers that are due, the connection closes with the last of them
        if (listDue(socket).size === 0) socket.destroy();
        return false;
      }
      const due = listDue(socket).add(response);
      response.on('close', () => {
        due.delete(response);
        if (due.size === 0 && unreadable.has(socket)) socket.end();
      });
      return true;
    },
    unreadable(socket, error) {
      const { code = '' } = error;
      const due = listDue(socket);
      dropUnread(due);
      const isDue = due.size > 0;
      // a caller that has closed its end waits for no answer
      if (!socket.writable || code === 'ECONNRESET' || (isDue && socket.readableEnded)) {
        socket.destroy();
        return;
      }
      if (unreadable.has(socket)) return;
      unreadable.add(socket);
      log.write('requestMalformed', { code });
      if (!isDue) answer(socket, code);
    },
    isReadable: (socket) => !unreadable.has(socket),
    closesBehind: (socket, response) =>
      unreadable.has(socket) && [...listDue(socket)].at(-1) === response,
  };
}
