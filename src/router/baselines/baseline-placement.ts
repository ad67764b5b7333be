/**
 * Placement by each node alone, without holders; requests queue at the engine. Like placement by
 * permits, it excludes servers that failed the request before or do not answer.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EngineGroup } from '../../configuration/objects.js';
import { createRefusal, type Failure } from '../../errors/index.js';
import type { Vm } from '../../ports/index.js';
import { resolvePlaceInUse, type PlacesInUse } from '../in-use.js';
import type { Place, Placement, PlacementRequest } from '../placement.js';
import type { LoadTracker } from './load-tracker.js';
import type { ServerPick } from './server-picks.js';

const RETRY_AFTER_MS = 1_000;

export interface BaselinePlacementParts {
  node: string;
  pick: ServerPick;
  loadTracker: LoadTracker;
  inUse: PlacesInUse;
  createId(): string;
  /** Servers of a group that accept new work, by the configuration and the VM list. */
  serversOf(group: EngineGroup): Vm[];
  shardOf(vm: Vm): string;
}

/**
 * Creates placement by this node alone.
 *
 * @param parts the servers, their load, and how one is picked
 */
export function createBaselinePlacement(parts: BaselinePlacementParts): Placement {
  const { node, pick, loadTracker, inUse } = parts;

  function listServers(request: PlacementRequest): Vm[] {
    const servers: Vm[] = [];
    for (const group of request.groups) {
      servers.push(...parts.serversOf(group));
    }
    return servers.filter(({ id }) => !request.avoid.includes(id) && loadTracker.isResponsive(id));
  }

  function place(request: PlacementRequest): Promise<Result<Place, Failure>> {
    const chosen = pick.pick(listServers(request), (server) => loadTracker.loadOf(server));
    if (chosen === undefined) return Promise.resolve(Err(refuse(node)));
    const place: Place = {
      permitId: parts.createId(),
      shard: parts.shardOf(chosen),
      server: chosen.id,
      address: chosen.address,
      waitedMs: 0,
    };
    loadTracker.recordStart(chosen.id);
    inUse.add(resolvePlaceInUse(place, request));
    return Promise.resolve(Ok(place));
  }

  return {
    place,
    release(_request, place) {
      inUse.remove(place.permitId);
    },
  };
}

function refuse(node: string): Failure {
  return createRefusal({
    code: 'no-backend-server',
    message: 'no backend server of the group answers',
    step: 'permit.ask',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
