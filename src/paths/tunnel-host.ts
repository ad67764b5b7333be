/**
 * Carries connections to backend servers for gateways that have no path of their own to them. It only forwards bytes:
 * the gateway that asks keeps the request with its retries, time limit and ban. A tunnel leads to a server over this
 * gateway's own path, never over a further gateway, and the number of tunnels is bounded.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { WebSocketServer } from 'ws';
import type { Log } from '../events/index.js';
import type { Fleet } from '../fleet/index.js';
import type { MemoryBudget } from '../memory/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock } from '../task/index.js';
import { createResetError, onResetAtEnd } from './connection-end.js';
import { dialAddress, type DialFailure } from './dial.js';
import { TUNNEL_HEADER, TUNNEL_PATH, tunnelStatuses } from './tunnel-protocol.js';
import { MAX_PIECE_BYTES, TunnelStream } from './tunnel-stream.js';

/** Most tunnels carried at a time: a quarter of the connections that a process may have open. */
const MAX_TUNNELS = 1_000;
/** Memory that a tunnel may take, in bytes: a piece on its way in each direction, and what both connections buffer. */
const TUNNEL_BYTES = 4 * MAX_PIECE_BYTES;
/** Timeout of the connection to the server, in ms: less than the gateway that asks waits. */
const CONNECT_TIMEOUT_MS = 100;

/** Dependencies of the host. */
export interface TunnelHostParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'tunnels' | 'tunnelsRefused'>;
  fleet: Pick<Fleet, 'find' | 'isAvailable'>;
  /** Whether this gateway has lost its own path to a server. */
  isPathLost(server: string): boolean;
  /** Whether this gateway is stopping. */
  isStopping(): boolean;
  memory: MemoryBudget;
}

/** Carries connections for other gateways. */
export interface TunnelHost {
  /** Handles a request to upgrade a connection; false if it asks for no tunnel. */
  upgradeRequested(request: IncomingMessage, connection: Duplex, head: Buffer): boolean;
  /** Number of tunnels, those that are being opened included. */
  carried: () => number;
  close(): void;
}

/**
 * Creates a host without tunnels.
 *
 * @param parts the servers and this gateway's paths to them
 */
export function createTunnelHost(parts: TunnelHostParts): TunnelHost {
  const { clock, log, metrics, fleet, memory } = parts;
  const tunnels = new Set<TunnelStream>();
  const upgrader = new WebSocketServer({ noServer: true, perMessageDeflate: false });
  upgrader.on('headers', (headers) => {
    headers.push(`${TUNNEL_HEADER}: 1`);
  });
  /** Tunnels whose server is still being connected to. */
  let opening = 0;

  function refuse(connection: Duplex, server: string, failure: DialFailure): void {
    const { kind, reason } = failure;
    metrics.tunnelsRefused.inc({ reason: kind });
    log.write('tunnelRefused', { server, cause: kind, reason, tunnels: tunnels.size });
    connection.end(
      `HTTP/1.1 ${tunnelStatuses[kind]} ${kind}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  /** Why a tunnel is not attempted; `undefined` if it may be. */
  function findObstacle(server: string): string | undefined {
    if (parts.isStopping()) return 'the gateway is stopping';
    if (tunnels.size + opening >= MAX_TUNNELS) return 'too many tunnels';
    if (!memory.hasRoom(TUNNEL_BYTES)) return 'no memory';
    if (!fleet.isAvailable(server)) return 'the server is unknown or leaves';
    return parts.isPathLost(server) ? 'no path of its own' : undefined;
  }

  async function open(
    request: IncomingMessage,
    connection: Duplex,
    head: Buffer,
    encodedServer: string,
  ): Promise<void> {
    const server = decodeURIComponent(encodedServer);
    const obstacle = findObstacle(server);
    if (obstacle !== undefined) {
      refuse(connection, server, { kind: 'unavailable', reason: obstacle });
      return;
    }
    opening += 1;
    const address = fleet.find(server)?.address ?? '';
    const result = await dialAddress(clock, address, CONNECT_TIMEOUT_MS);
    opening -= 1;
    if (result.isErr()) {
      refuse(connection, server, result.error);
      return;
    }
    // the gateway that asked has given up
    if (!connection.readable || !connection.writable) {
      result.value.destroy();
      connection.destroy();
      return;
    }
    upgrader.handleUpgrade(request, connection, head, (webSocket) => {
      carry(result.value, new TunnelStream(webSocket));
    });
  }

  function carry(socket: Socket, tunnel: TunnelStream): void {
    tunnels.add(tunnel);
    const share = memory.hold({ holder: 'tunnels', bytes: TUNNEL_BYTES });
    metrics.tunnels.set(tunnels.size);
    onResetAtEnd(socket, () => tunnel.destroy(createResetError('the server reset')));
    socket.pipe(tunnel);
    tunnel.pipe(socket);
    socket.on('error', (error) => tunnel.destroy(error));
    tunnel.on('error', () => socket.destroy());
    socket.on('close', () => {
      // the end of the stream is passed on by the pipe, behind the bytes that are still on their way
      if (!socket.readableEnded) tunnel.destroy();
    });
    tunnel.on('end', () => {
      socket.destroySoon();
    });
    tunnel.on('close', () => {
      share.release();
      socket.destroy();
      tunnels.delete(tunnel);
      metrics.tunnels.set(tunnels.size);
    });
  }

  return {
    upgradeRequested(request, connection, head) {
      const { url = '' } = request;
      if (!url.startsWith(TUNNEL_PATH)) return false;
      connection.on('error', () => connection.destroy());
      open(request, connection, head, url.slice(TUNNEL_PATH.length)).catch((error: unknown) => {
        log.write('decisionFailed', { step: 'tunnel', reason: String(error) });
        connection.destroy();
      });
      return true;
    },
    carried: () => tunnels.size + opening,
    close() {
      for (const tunnel of tunnels) tunnel.destroy();
      upgrader.close();
    },
  };
}
