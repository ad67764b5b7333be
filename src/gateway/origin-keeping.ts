/**
 * Composes what a gateway knows of where streams began: its records, their replicas at peers, and what the platform stores
 * of them and of the software versions of servers.
 */
import type { Log } from '../events/index.js';
import type { Fleet } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { GatewayState, Overlay } from '../peers/index.js';
import type { TableService } from '../ports/table-service.js';
import type { RoutingReplica } from '../routing/index.js';
import {
  createOriginRecords,
  createReplicas,
  createStoredOrigins,
  createStreamOrigins,
  createVersionHistory,
  createVersionRows,
  resolveKeepMs,
  type StoredOrigins,
  type StreamOrigins,
  type VersionHistory,
  type VersionRows,
} from '../streams/index.js';
import type { Clock } from '../task/index.js';

/** Dependencies of {@link createOriginKeeping}. */
export interface OriginKeepingParts {
  clock: Clock;
  log: Log;
  metrics: GatewayMetrics;
  node: string;
  table: TableService;
  /** Ends the keeping of rows. */
  signal: AbortSignal;
  fleet(): Pick<Fleet, 'registered'>;
  routes: Pick<RoutingReplica, 'index'>;
  overlay(): Pick<Overlay, 'send' | 'peers' | 'knownGateways' | 'fleetSize'>;
  isStoreReachable(): boolean;
  /** Whether the addresses of all gateways were read since this one started. */
  hasReadAddresses(): boolean;
  /** The gateway that stores the versions of a service. */
  holderOf(service: string): string;
}

/** What a gateway knows of where streams began. */
export interface OriginKeeping {
  streams: StreamOrigins;
  history: VersionHistory;
  rows: VersionRows;
  stored: StoredOrigins;
}

/** Creates the records without any. */
export function createOriginKeeping(parts: OriginKeepingParts): OriginKeeping {
  const { clock, log, metrics, node, table, signal, routes } = parts;
  let recording: readonly string[] = [];
  let foundPeers = false;
  let recordingFrom: readonly GatewayState[] | undefined;
  let lastEarlierReleaseAt = Number.NEGATIVE_INFINITY;

  /** Peers that keep records; the same array until they change. */
  function listRecording(): readonly string[] {
    const peers = parts.overlay().peers();
    if (peers === recordingFrom) return recording;
    if (hasEarlierRelease()) lastEarlierReleaseAt = clock.now();
    recordingFrom = peers;
    recording = peers.filter((peer) => peer.recordsOrigins === true).map((peer) => peer.node);
    return recording;
  }

  /** Whether a peer was of a release that keeps neither records nor rows, when the peers were last looked at. */
  function hasEarlierRelease(): boolean {
    return recording.length < (recordingFrom?.length ?? 0);
  }

  function findLastEarlierRelease(): number {
    listRecording();
    return hasEarlierRelease() ? clock.now() : lastEarlierReleaseAt;
  }

  /** The longest time for which a stream of any route may be continued, in milliseconds. */
  function resolveLongestKeepMs(): number {
    let longestMs = 0;
    for (const { isResumable, timeoutMs } of routes.index()?.table.routes ?? []) {
      if (isResumable) longestMs = Math.max(longestMs, timeoutMs);
    }
    return resolveKeepMs(longestMs);
  }

  /** Services whose streams may be continued. */
  function listServices(): Set<string> {
    const found = new Set<string>();
    for (const { isResumable, targets } of routes.index()?.table.routes ?? []) {
      for (const { service } of isResumable ? targets : []) found.add(service);
    }
    return found;
  }

  const history = createVersionHistory({
    now: () => clock.now(),
    *registered(service) {
      for (const { version } of parts.fleet().registered(service)) yield version;
    },
    keepMs: resolveLongestKeepMs,
    lastWithoutRowsAt: findLastEarlierRelease,
  });

  /** Whether this gateway has had time to find the others since it started. */
  function hasFoundPeers(): boolean {
    foundPeers ||= parts.hasReadAddresses() && parts.overlay().fleetSize() !== undefined;
    return foundPeers;
  }

  const replicas = createReplicas(node, listRecording);
  const records = createOriginRecords();
  const stored = createStoredOrigins({
    clock,
    log,
    metrics,
    table,
    signal,
    records,
    replicas,
    history,
    hasFoundPeers,
    services: listServices,
  });
  const streams = createStreamOrigins({
    clock,
    log,
    metrics,
    replicas,
    records,
    stored,
    history,
    isCurrentAlone: () =>
      hasFoundPeers() && parts.overlay().knownGateways() === 1 && parts.isStoreReachable(),
    send: (peer, message) => parts.overlay().send(peer, message),
  });
  const rows = createVersionRows({
    table,
    clock,
    log,
    signal,
    history,
    services: listServices,
    isOwn: (service) => parts.holderOf(service) === node,
  });
  return { streams, history, rows, stored };
}
