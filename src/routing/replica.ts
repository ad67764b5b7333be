/**
 * A gateway's copy of the routing table. It moves forward only, whichever source a version comes
 * from, so a gateway never goes back to routes that it has already left.
 */
import type { Log } from '../events/index.js';
import { createRouteIndex, type RouteIndex } from './route-index.js';
import type { RoutingTable } from './route.js';

/** A version with the document that it was read from, for handing on to peers. */
export interface RoutingDocument {
  table: RoutingTable;
  /** The document as the operator wrote it. */
  text: string;
}

/** Where a version was learnt from. */
export type RoutingSource = 'store' | 'peer';

/** The newest table that a gateway knows. */
export interface RoutingReplica {
  /** `undefined` until a first version was learnt. */
  index(): RouteIndex | undefined;
  /** 0 until a first version was learnt. */
  version(): number;
  document(): RoutingDocument | undefined;
  /** Takes a version in if it is newer than the one in force. */
  offer(document: RoutingDocument, source: RoutingSource): void;
}

/**
 * Creates an empty replica.
 *
 * @param log hears of versions that come into force
 * @param applied called after a version came into force
 */
export function createRoutingReplica(
  log: Log,
  applied: (table: RoutingTable) => void,
): RoutingReplica {
  let current: RoutingDocument | undefined;
  let index: RouteIndex | undefined;

  /** A version is written again with other contents where the store has lost it; the store's word holds then. */
  function isNewer({ table, text }: RoutingDocument, source: RoutingSource): boolean {
    if (current === undefined || table.version > current.table.version) return true;
    const isRewritten = table.version === current.table.version && text !== current.text;
    return isRewritten && source === 'store';
  }

  return {
    index: () => index,
    version: () => current?.table.version ?? 0,
    document: () => current,
    offer(document, source) {
      const { table } = document;
      const before = current?.table.version ?? 0;
      if (!isNewer(document, source)) return;
      current = document;
      index = createRouteIndex(table);
      log.write('routesApplied', {
        version: table.version,
        before,
        source,
        routes: table.routes.length,
      });
      applied(table);
    },
  };
}
