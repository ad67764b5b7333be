/**
 * The quarantine of a gateway, synchronised with its peers, with its bans persisted in the platform's store.
 */
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { Paths } from '../paths/index.js';
import type { Overlay } from '../peers/index.js';
import type { TableService } from '../ports/table-service.js';
import {
  createBanRows,
  createQuarantine,
  type BanRows,
  type ProbeAnswer,
  type Quarantine,
} from '../quarantine/index.js';
import type { Clock } from '../task/index.js';

/** Dependencies of the quarantine. */
export interface PersistentQuarantineParts {
  clock: Clock;
  log: Log;
  metrics: GatewayMetrics;
  node: string;
  table: TableService;
  /** Cancels pending writes. */
  signal: AbortSignal;
  /** Paths to the servers. */
  paths(): Pick<Paths, 'probe'>;
  /** The gateway that coordinates a service's trials. */
  coordinatorOf(service: string): string;
  overlay(): Pick<Overlay, 'send' | 'broadcast'>;
}

/**
 * Creates the quarantine and the rows of its bans.
 */
export function createPersistentQuarantine(parts: PersistentQuarantineParts): {
  quarantine: Quarantine;
  banRows: BanRows;
} {
  const { clock, log, metrics, node, table, signal } = parts;
  const quarantine = createQuarantine({
    clock,
    log,
    metrics,
    probe: { dial: (server) => probeServer(parts.paths(), server) },
    node,
    coordinatorOf: (service) => parts.coordinatorOf(service),
    broadcast(message) {
      parts.overlay().broadcast(message);
    },
    send(peer, message) {
      parts.overlay().send(peer, message);
    },
    banChanged: (fingerprint) => {
      banRows.changed(fingerprint);
    },
  });
  const banRows = createBanRows({
    table,
    clock,
    log,
    signal,
    timeOfDay: () => Date.now(),
    banRowOf: quarantine.banRowOf,
    mergeRows(rows) {
      quarantine.mergeRows(rows, 'platform');
    },
  });
  return { quarantine, banRows };
}

async function probeServer(
  paths: Pick<Paths, 'probe'>,
  server: RegisteredServer,
): Promise<ProbeAnswer> {
  const result = await paths.probe(server);
  if (result.isOk()) return 'open';
  return result.error.kind === 'refused' ? 'refused' : 'silent';
}
