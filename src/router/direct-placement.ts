/**
 * Placement without a holder, for repeatable requests while a holder cannot be reached: the less
 * loaded of two random servers, by this node's own requests there and the holder's last summary.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EngineGroup } from '../configuration/objects.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Vm } from '../ports/index.js';
import type { RandomSource } from '../task/index.js';
import { resolvePlaceInUse, type PlacesInUse } from './in-use.js';
import type { Place, Placement, PlacementRequest } from './placement.js';
import type { ServerAvailability } from './server-availability.js';

const RETRY_AFTER_MS = 1_000;

export interface DirectPlacementParts {
  node: string;
  random: RandomSource;
  inUse: PlacesInUse;
  createId(): string;
  /** Servers of a group that accept new work, by the configuration and the VM list. */
  serversOf(group: EngineGroup): Vm[];
  shardOf(vm: Vm): string;
  /** Asks the servers themselves whether they accept work. */
  availability: ServerAvailability;
  /** Free places in the holder's last summary; `undefined` when the server was in none. */
  lastKnownFree(server: string): number | undefined;
}

/**
 * Creates placement without a holder.
 *
 * @param parts the servers and their known load
 */
export function createDirectPlacement(parts: DirectPlacementParts): Placement {
  const { random, inUse } = parts;

  async function listCandidates(request: PlacementRequest): Promise<Vm[]> {
    const listed: Vm[] = [];
    for (const group of request.groups) {
      for (const vm of parts.serversOf(group)) {
        if (!request.avoid.includes(vm.id)) listed.push(vm);
      }
    }
    const accepting = await Promise.all(listed.map((vm) => parts.availability.acceptsWork(vm)));
    return listed.filter((_, index) => accepting[index] === true);
  }

  function pickRandom(candidates: readonly Vm[]): Vm | undefined {
    return candidates[Math.floor(random.next() * candidates.length)];
  }

  function loadOf(vm: Vm): number {
    return inUse.countOn(vm.id) - (parts.lastKnownFree(vm.id) ?? 0);
  }

  async function place(request: PlacementRequest): Promise<Result<Place, Failure>> {
    const candidates = await listCandidates(request);
    const first = pickRandom(candidates);
    const second = pickRandom(candidates);
    if (first === undefined || second === undefined) return Err(refuseWithoutServer(parts.node));
    const chosen = loadOf(second) < loadOf(first) ? second : first;
    const place: Place = {
      permitId: parts.createId(),
      shard: parts.shardOf(chosen),
      server: chosen.id,
      address: chosen.address,
      waitedMs: 0,
    };
    inUse.add(resolvePlaceInUse(place, request));
    return Ok(place);
  }

  return {
    place,
    release(_request, place) {
      inUse.remove(place.permitId);
    },
  };
}

function refuseWithoutServer(node: string): Failure {
  return createRefusal({
    code: 'no-backend-server',
    message: 'no backend server of the group can take the request now',
    step: 'permit.ask',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
