/**
 * Which connections of an HTTP server carry no request. Node counts a connection on which nothing
 * was ever asked as busy, so that a caller which opened one in advance would hold a shutdown.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** The connections of one server. */
export interface Connections {
  /** Closes those on which no request is being answered. */
  closeQuiet(): void;
}

/**
 * Follows the connections of a server that does not listen yet.
 *
 * @param isEncrypted whether requests come on TLS sockets, which are not those first accepted
 */
export function followConnections(server: Server, isEncrypted: boolean): Connections {
  const quiet = new Set<Socket>();

  server.on(isEncrypted ? 'secureConnection' : 'connection', (socket: Socket) => {
    quiet.add(socket);
    socket.once('close', () => {
      quiet.delete(socket);
    });
  });
  server.on('request', ({ socket }, outgoing) => {
    quiet.delete(socket);
    outgoing.once('close', () => {
      if (!socket.destroyed) quiet.add(socket);
    });
  });

  return {
    closeQuiet() {
      for (const socket of quiet) socket.destroy();
    },
  };
}
