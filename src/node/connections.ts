/**
 * Which connections of an HTTP server carry no request. Node counts a connection on which nothing
 * was ever asked as busy, so that a caller which opened one in advance would hold a shutdown. And
 * which carry a whole request, whose answer is the next thing that its caller may read there.
 */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** The connections of one server. */
export interface Connections {
  /** Closes those on which no request is being answered. */
  closeQuiet(): void;
  /**
   * Closes a connection once the answers to its whole requests have ended; requests that come there meanwhile are
   * dropped.
   *
   * @returns whether an answer is due; the connection is left as it is otherwise
   */
  closeAfterAnswers(socket: Duplex): boolean;
  /** Whether requests of a connection are still taken. */
  takesRequests(socket: Duplex): boolean;
}

/**
 * Follows the connections of a server that does not listen yet.
 *
 * @param isEncrypted whether requests come on TLS sockets, which are not those first accepted
 */
export function followConnections(server: Server, isEncrypted: boolean): Connections {
  const quiet = new Set<Socket>();
  const unanswered = new Map<Duplex, Set<IncomingMessage>>();
  const closing = new WeakSet<Duplex>();

  /** Whether an answer is due; a request that is not whole has started nothing. */
  function owesAnswer(socket: Duplex): boolean {
    for (const { complete } of unanswered.get(socket) ?? []) {
      if (complete) return true;
    }
    return false;
  }

  function settle(socket: Socket, incoming: IncomingMessage): void {
    unanswered.get(socket)?.delete(incoming);
    if (closing.has(socket) && !owesAnswer(socket)) socket.destroySoon();
  }

  server.on(isEncrypted ? 'secureConnection' : 'connection', (socket: Socket) => {
    quiet.add(socket);
    socket.once('close', () => {
      quiet.delete(socket);
      unanswered.delete(socket);
    });
  });
  server.on('request', (incoming, outgoing) => {
    const { socket } = incoming;
    quiet.delete(socket);
    if (closing.has(socket)) return;
    const open = unanswered.get(socket) ?? new Set();
    unanswered.set(socket, open.add(incoming));
    outgoing.once('close', () => {
      settle(socket, incoming);
      if (!socket.destroyed) quiet.add(socket);
    });
  });

  return {
    closeQuiet() {
      for (const socket of quiet) socket.destroy();
    },
    closeAfterAnswers(socket) {
      if (!socket.writable || !owesAnswer(socket)) return false;
      closing.add(socket);
      return true;
    },
    takesRequests: (socket) => !closing.has(socket),
  };
}
