/**
 * Reads past what is of no use on a connection: the rest of an answer, or all of one that belongs to another request.
 * The answer that is due may stand right behind such a one, and its request may not be repeatable.
 */
import { request as startRequest, type ClientRequest, type IncomingMessage } from 'node:http';

/** Largest body, or rest of one, that is read for the sake of what follows on its connection, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;

/** How reading past an answer ends; one of the two is called, once. */
export interface NextAnswerReceiver {
  /** The source of the next answer on the connection, which is used for nothing else afterwards. */
  onNext(source: ClientRequest): void;
  /** The connection cannot be read on. */
  onLost(reason: string): void;
}

/**
 * Reads the rest of an answer without keeping it.
 *
 * @param exceeded called once it is too large to go on
 */
export function readRest(answer: IncomingMessage, exceeded: () => void): void {
  let bytes = 0;
  answer.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) exceeded();
  });
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
  let ended = false;

  function lose(reason: string): void {
    if (ended) return;
    ended = true;
    socket.destroy();
    receiver.onLost(reason);
  }

  // the agent gives it to no other request: the answer that is due has not come yet
  socket.emit('agentRemove');
  readRest(other, () => {
    lose('the answer belongs to another request and is too large');
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
