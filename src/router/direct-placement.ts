/**
 * Placement without a holder: the better of two servers picked at random, by what this node itself
 * runs there and what the holder last said. Used for repeatable requests while a holder cannot be
 * reached.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EngineGroup } from '../configuration/objects.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Vm } from '../ports/index.js';
import type { RandomSource } from '../task/index.js';
import type { PlacesInUse } from './in-use.js';
import type { Place, Placement, PlacementRequest } from './placement.js';
import type { ServerAvailability } from './server-availability.js';

const RETRY_AFTER_MS = 1_000;

/** What placement without a holder needs. */
export interface DirectPlacementParts {
  node: string;
  random: RandomSource;
  inUse: PlacesInUse;
  createId(): string;
  /** Servers of a group that may take new work, by configuration and list. */
  serversOf(group: EngineGroup): Vm[];
  shardOf(vm: Vm): string;
  /** What servers say of themselves; without a holder nobody else speaks for them. */
  availability: ServerAvailability;
  /** Free places when the holder last spoke of the server; `undefined` when it never did. */
  lastKnownFree(server: string): number | undefined;
}

/**
 * Creates placement without a holder.
 *
 * @param parts what is known of the servers
 */
export function createDirectPlacement(parts: DirectPlacementParts): Placement {
  const { random, inUse } = parts;

  async function listCandidates(wish: PlacementRequest): Promise<Vm[]> {
    const listed: Vm[] = [];
    for (const group of wish.groups) {
      for (const vm of parts.serversOf(group)) {
        if (!wish.avoid.includes(vm.id)) listed.push(vm);
      }
    }
    const words = await Promise.all(listed.map((vm) => parts.availability.acceptsWork(vm)));
    return listed.filter((_, index) => words[index] === true);
  }

  function pick(candidates: readonly Vm[]): Vm | undefined {
    return candidates[Math.floor(random.next() * candidates.length)];
  }

  function loadOf(vm: Vm): number {
    return inUse.countOn(vm.id) - (parts.lastKnownFree(vm.id) ?? 0);
  }

  async function place(wish: PlacementRequest): Promise<Result<Place, Failure>> {
    const candidates = await listCandidates(wish);
    const first = pick(candidates);
    const second = pick(candidates);
    if (first === undefined || second === undefined) return Err(refuseWithoutServer(parts.node));
    const chosen = loadOf(second) < loadOf(first) ? second : first;
    const used: Place = {
      permitId: parts.createId(),
      shard: parts.shardOf(chosen),
      server: chosen.id,
      address: chosen.address,
      waitedMs: 0,
    };
    inUse.add({
      permitId: used.permitId,
      requestId: wish.requestId,
      shard: used.shard,
      server: used.server,
      team: wish.team,
      class: wish.class,
      promptTokens: wish.promptTokens,
      expectedOutputTokens: wish.expectedOutputTokens,
    });
    return Ok(used);
  }

  return {
    place,
    release(_wish, used) {
      inUse.remove(used.permitId);
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
