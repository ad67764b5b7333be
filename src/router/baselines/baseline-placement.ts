/**
 * Placement by each node alone: no holder is asked, the engine's own queue takes what comes. It
 * leaves out servers that failed the request before or do not answer, as placement by permits does.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EngineGroup } from '../../configuration/objects.js';
import { createRefusal, type Failure } from '../../errors/index.js';
import type { Vm } from '../../ports/index.js';
import type { PlacesInUse } from '../in-use.js';
import type { Place, Placement, PlacementRequest } from '../placement.js';
import type { LoadTracker } from './load-tracker.js';
import type { ServerPick } from './server-picks.js';

const RETRY_AFTER_MS = 1_000;

/** What placement by a node alone needs. */
export interface BaselinePlacementParts {
  node: string;
  pick: ServerPick;
  loadTracker: LoadTracker;
  inUse: PlacesInUse;
  createId(): string;
  /** Servers of a group that may take new work, by configuration and list. */
  serversOf(group: EngineGroup): Vm[];
  shardOf(vm: Vm): string;
}

/**
 * Creates placement by this node alone.
 *
 * @param parts how a server is picked, and from which
 */
export function createBaselinePlacement(parts: BaselinePlacementParts): Placement {
  const { node, pick, loadTracker: board, inUse } = parts;

  function listServers(wish: PlacementRequest): Vm[] {
    const servers: Vm[] = [];
    for (const group of wish.groups) {
      servers.push(...parts.serversOf(group));
    }
    return servers.filter(({ id }) => !wish.avoid.includes(id) && board.isResponsive(id));
  }

  function place(wish: PlacementRequest): Promise<Result<Place, Failure>> {
    const chosen = pick.pick(listServers(wish), (server) => board.loadOf(server));
    if (chosen === undefined) return Promise.resolve(Err(refuse(node)));
    const place: Place = {
      permitId: parts.createId(),
      shard: parts.shardOf(chosen),
      server: chosen.id,
      address: chosen.address,
      waitedMs: 0,
    };
    board.recordStart(chosen.id);
    inUse.add({
      permitId: place.permitId,
      requestId: wish.requestId,
      shard: place.shard,
      server: place.server,
      team: wish.team,
      class: wish.class,
      promptTokens: wish.promptTokens,
      expectedOutputTokens: wish.expectedOutputTokens,
    });
    return Promise.resolve(Ok(place));
  }

  return {
    place,
    release(_wish, place) {
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
