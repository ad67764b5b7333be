/**
 * What a gateway says of itself on addresses of its own: whether it is ready, its metrics with the bans, and the directory of
 * gateways.
 */
import type { IncomingMessage, Server } from 'node:http';
import type { Log } from '../events/index.js';
import { holders, type MemoryBudget } from '../memory/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Overlay } from '../peers/index.js';
import type { Quarantine } from '../quarantine/index.js';
import { answerBans } from './answer-bans.js';
import { resolveGatewayAddresses } from './directory.js';
import { formatAddress, type GatewaySettings } from './settings.js';
import { startStatusServer, type StatusResponse } from './status-servers.js';

/** The platform's form of the responses. */
export interface StatusFormat {
  readinessResponse(isReady: boolean): StatusResponse;
  /** Reads the caller's availability zone from a directory request. */
  readDirectoryZone(url: string): string | undefined;
  directoryResponse(addresses: readonly string[], ttlMs: number): StatusResponse;
}

/** Dependencies of {@link startStatus}. */
export interface StatusParts {
  settings: Pick<GatewaySettings, 'callers' | 'zone' | 'readiness' | 'metrics' | 'directory'>;
  log: Log;
  metrics: GatewayMetrics;
  format: StatusFormat;
  overlay: Pick<Overlay, 'peers'>;
  quarantine: Pick<Quarantine, 'bans' | 'lift'>;
  memory: Pick<MemoryBudget, 'held' | 'total'>;
  isReady: () => boolean;
  /** How long callers may rely on a directory response, in milliseconds. */
  directoryTtlMs: () => number;
}

/** The started addresses. */
export interface Status {
  /** Ends all connections. */
  close(): void;
}

/**
 * Starts the addresses.
 *
 * @param parts what the gateway knows of itself and of others
 */
export async function startStatus(parts: StatusParts): Promise<Status> {
  const { settings, log, metrics, format, overlay, quarantine, memory, isReady } = parts;

  function answerDirectory({ url = '' }: IncomingMessage): StatusResponse {
    const { zone } = settings;
    const own = { address: formatAddress(settings.callers), zone, isReady: isReady() };
    const callerZone = format.readDirectoryZone(url);
    const addresses = resolveGatewayAddresses(own, overlay.peers(), callerZone);
    return format.directoryResponse(addresses, parts.directoryTtlMs());
  }

  async function renderMetrics(): Promise<StatusResponse> {
    metrics.peers.set(overlay.peers().length);
    metrics.banned.set(quarantine.bans().length);
    const held = memory.held();
    for (const holder of holders) metrics.memoryHeld.set({ holder }, held[holder]);
    metrics.memoryBudget.set(memory.total());
    const { contentType } = metrics.registry;
    return { status: 200, contentType, body: await metrics.registry.metrics() };
  }

  function startServers(): Promise<Server[]> {
    const { readiness, metrics: metricsAddress, directory } = settings;
    const pending = [
      startStatusServer(readiness, log, () => format.readinessResponse(isReady())),
      startStatusServer(
        metricsAddress,
        log,
        (request) => answerBans(quarantine, request) ?? renderMetrics(),
      ),
    ];
    if (directory !== undefined) pending.push(startStatusServer(directory, log, answerDirectory));
    return Promise.all(pending);
  }

  const servers = await startServers();
  return {
    close() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
