/**
 * A gateway's copy of the routing table. Its version never decreases, whether a document comes from the store
 * or from a peer.
 */
import type { Log } from '../events/index.js';
import { createRouteIndex, type RouteIndex } from './route-index.js';
import type { RoutingTable } from './route.js';

/** A routing table with its source document, which is relayed to peers. */
export interface RoutingDocument {
  table: RoutingTable;
  /** The document as the operator wrote it. */
  text: string;
}

/** Where a document came from. */
export type RoutingSource = 'store' | 'peer';

/** The newest known routing table. */
export interface RoutingReplica {
  /** `undefined` before the first version. */
  index(): RouteIndex | undefined;
  /** 0 before the first version. */
  version(): number;
  document(): RoutingDocument | undefined;
  /** Applies a document that is newer than the one in force. */
  offer(document: RoutingDocument, source: RoutingSource): void;
}

/**
 * Creates an empty replica.
 *
 * @param log receives an event for each applied version
 * @param applied called after a version was applied
 */
export function createRoutingReplica(
  log: Log,
  applied: (table: RoutingTable) => void,
): RoutingReplica {
  let current: RoutingDocument | undefined;
  let index: RouteIndex | undefined;

  /** A store restored from a backup can reuse a version for other contents; the store then takes precedence. */
  function supersedesCurrent({ table, text }: RoutingDocument, source: RoutingSource): boolean {
    if (current === undefined || table.version > current.table.version) return true;
    const isReused = table.version === current.table.version && text !== current.text;
    return isReused && source === 'store';
  }

  return {
    index: () => index,
    version: () => current?.table.version ?? 0,
    document: () => current,
    offer(document, source) {
      const { table } = document;
      const previousVersion = current?.table.version ?? 0;
      if (!supersedesCurrent(document, source)) return;
      current = document;
      index = createRouteIndex(table);
      log.write('routesApplied', {
        version: table.version,
        before: previousVersion,
        source,
        routes: table.routes.length,
      });
      applied(table);
    },
  };
}
