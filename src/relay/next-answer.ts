/**
 * Reads past an answer that belongs to another request: the one that is due may stand right behind it on the
 * connection, and the request may not be repeatable.
 */
import { request as startRequest, type ClientRequest, type IncomingMessage } from 'node:http';

/** Largest body that is read past, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;

/** How reading past an answer ends; one of the two is called, once. */
export interface NextAnswerReceiver {
  /** The source of the next answer on the connection, which is used for nothing else afterwards. */
  onNext(source: ClientRequest): void;
  /** The connection cannot be read on. */
  onLost(reason: string): void;
}

/**
 * Reads past an answer and gives the source of the one behind it.
 *
 * @param other the answer that belongs to another request; its head has just arrived
 * @param method method of the request whose answer is due
 * @param receiver how it ends
 */
export function readNextAnswer(
  other: IncomingMessage,
  method: string,
  receiver: NextAnswerReceiver,
): void {
  const { socket } = other;
  let bytes = 0;
  let ended = false;

  function lose(reason: string): void {
    if (ended) return;
    ended = true;
    socket.destroy();
    receiver.onLost(reason);
  }

  // the agent gives it to no other request: the answer that is due has not come yet
  socket.emit('agentRemove');
  other.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) lose('the answer belongs to another request and is too large');
  });
  other.on('end', () => {
    if (ended) return;
    if (!other.complete || !socket.writable) {
      lose('the answer belongs to another request');
      return;
    }
    ended = true;
    // a request that is never sent: its parser reads the next answer
    receiver.onNext(startRequest({ method, createConnection: () => socket }));
  });
  other.on('error', (error: NodeJS.ErrnoException) => {
    lose(error.code ?? error.message);
  });
  other.on('close', () => {
    lose('the answer belongs to another request');
  });
}
