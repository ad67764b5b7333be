/**
 * Connections of a gateway to backend servers: by its own paths, and through peers where a path is lost.
 */
import type { Log } from '../events/index.js';
import type { Fleet, RegisteredServer } from '../fleet/index.js';
import type { MemoryBudget } from '../memory/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { createPaths, createTunnelDialer, createTunnelHost, type Paths } from '../paths/index.js';
import type { TunnelDialer, TunnelHost } from '../paths/index.js';
import type { Overlay } from '../peers/index.js';
import { createConnections, type Connections } from '../relay/index.js';
import type { Clock, RandomSource } from '../task/index.js';

/** Dependencies of the connections. */
export interface ServerPathsParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: GatewayMetrics;
  /** The gateway's availability zone. */
  zone: string;
  fleet(): Fleet;
  overlay(): Pick<Overlay, 'peers'>;
  /** Maximum number of connections from this gateway to a server. */
  limitConnections(server: string): number;
  /** Whether this gateway is stopping; it then carries no further connections for peers. */
  isStopping(): boolean;
  /** Memory that tunnels for peers may take. */
  memory: MemoryBudget;
}

/** Connections of a gateway to backend servers. */
export interface ServerPaths {
  connections: Connections;
  paths: Paths;
  tunnels: Pick<TunnelDialer, 'peerLost'>;
  tunnelHost: TunnelHost;
  /** Removes a server that is gone or leaves. */
  forget(server: string): void;
  close(): void;
}

/**
 * Creates the connections, of which none is open.
 *
 * @param parts the servers and the peers
 */
export function createServerPaths(parts: ServerPathsParts): ServerPaths {
  const { clock, random, log, metrics, zone } = parts;
  const connections = createConnections(
    (id) => parts.limitConnections(id),
    clock,
    (id) => {
      const server = parts.fleet().find(id);
      if (server === undefined) return undefined;
      return { connect: () => paths.connect(server), isPathLost: () => paths.isLost(id) };
    },
  );
  const tunnels = createTunnelDialer({
    clock,
    random,
    log,
    zone,
    peers: () => parts.overlay().peers(),
    retired() {
      connections.closeRetiringTunnels();
    },
  });
  const paths = createPaths({
    clock,
    random,
    log,
    metrics,
    tunnels,
    connected: listConnected,
    isKnown: (server) => parts.fleet().find(server) !== undefined,
    lost(server, isSilent) {
      if (isSilent) connections.pathLost(server);
    },
  });
  const tunnelHost = createTunnelHost({
    clock,
    log,
    metrics,
    fleet: {
      find: (id) => parts.fleet().find(id),
      isAvailable: (id) => parts.fleet().isAvailable(id),
    },
    isPathLost: (server) => paths.isLost(server),
    isStopping: () => parts.isStopping(),
    memory: parts.memory,
  });

  function listConnected(): RegisteredServer[] {
    const found: RegisteredServer[] = [];
    for (const id of connections.servers()) {
      const server = parts.fleet().find(id);
      if (server !== undefined) found.push(server);
    }
    return found;
  }

  return {
    connections,
    paths,
    tunnels,
    tunnelHost,
    forget(server) {
      connections.drop(server);
      paths.forget(server);
      tunnels.forget(server);
    },
    close() {
      connections.close();
      paths.close();
      tunnelHost.close();
    },
  };
}
