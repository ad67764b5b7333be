/**
 * Answers requests that HTTP itself could not read: half-sent ones that took too long, headers that
 * are too large, and bytes that are no HTTP. They never reach a front, so their refusal is written
 * to the socket here, in the shape of all refusals.
 */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { createFailureBody } from '../caller/index.js';
import { createRefusal, resolveHttpStatus, type Failure } from '../errors/index.js';

/** What node's HTTP parser gives as the code of its error. */
interface ParserError extends Error {
  code?: string;
}

/**
 * Refuses a request and closes its connection, of which nothing more is read: the rest of the request could still come,
 * and would run.
 *
 * @param error what the parser found
 * @param socket the caller's connection
 * @param node name of this node, for the failure
 */
export function refuseUnreadable(error: ParserError, socket: Duplex, node: string): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const failure = describe(error.code, node);
  const status = resolveHttpStatus(failure);
  const body = JSON.stringify(createFailureBody(failure));
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.pause();
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`, () => {
    socket.destroy();
  });
}

function describe(code: string | undefined, node: string): Failure {
  const common = { step: 'request.read' as const, peer: node };
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    const message = 'the request was not whole in time; send it again without pauses';
    return createRefusal({ ...common, code: 'request-timeout', message });
  }
  if (code === 'HPE_HEADER_OVERFLOW') {
    const message = 'the headers are larger than 16384 bytes';
    return createRefusal({ ...common, code: 'headers-too-large', message, field: 'headers' });
  }
  const message = 'this is not an HTTP request that can be read';
  return createRefusal({ ...common, code: 'malformed-request', message, field: 'request' });
}
