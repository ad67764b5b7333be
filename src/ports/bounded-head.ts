/**
 * Bounds the bytes that come where the head of an answer is due. The parser bounds a head by itself, but not the blank
 * lines before it. Heads that only announce an answer are no such bytes: the time limit of the request ends them.
 */
import type { ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

/** Bytes that may come before a head is whole: several times the largest head. */
export const MAX_BYTES_BEFORE_HEAD = 128 * 1024;

/**
 * Watches a request until the head of its answer is whole.
 *
 * @param request a request that has no connection yet
 * @param exceeded called once if too many bytes come before; ends the request
 */
export function boundHead(request: ClientRequest, exceeded: (reason: string) => void): void {
  let connection: Duplex | undefined;
  let bytes = 0;

  function count(chunk: Buffer): void {
    bytes += chunk.length;
    if (bytes <= MAX_BYTES_BEFORE_HEAD) return;
    stop();
    exceeded(`no answer within ${MAX_BYTES_BEFORE_HEAD} bytes`);
  }

  function stop(): void {
    connection?.off('data', count);
  }

  request.once('socket', (socket) => {
    connection = socket;
    socket.on('data', count);
  });
  request.on('information', () => {
    bytes = 0;
  });
  for (const event of ['response', 'upgrade', 'close']) request.once(event, stop);
}

/** What a handshake ends on. */
interface Handshake {
  terminate(): void;
}

/** Options of a WebSocket whose handshake is bounded. */
export const boundedHandshake = {
  finishRequest(request: ClientRequest, webSocket: Handshake): void {
    boundHead(request, () => {
      webSocket.terminate();
    });
    request.end();
  },
};
