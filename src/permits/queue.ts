/**
 * The requests that wait for a shard, in lanes: a lane holds those that wait for the same server, or
 * that any of the same servers could take, so that one which finds no room holds up only its like.
 * Short and long prompts, and teams within and beyond their share, have lanes of their own for the
 * same reason. Within a lane teams take turns by their fair share, and
 * within a team the most urgent goes first. Every change costs the logarithm of the number waiting.
 */
import type { PermitAnswer, PermitQuery } from '../links/index.js';
import type { FairShare, TeamCharge } from './fair-share.js';
import { createOrderedHeap, type OrderedHeap } from './ordered-heap.js';
import { createTeamQueue, type TeamQueue } from './team-queue.js';

/** A request that waits for a permit. */
export interface Waiting {
  query: PermitQuery;
  /** The node that asked. */
  node: string;
  /** When it came, on the holder's clock. */
  since: number;
  /** When its first token is late, on the holder's clock. */
  firstTokenBy: number;
  /** After this it cannot be on time even if it is granted at once, on the holder's clock. */
  startBy: number;
  /** Whether its prompt counts as long. */
  isLong: boolean;
  /** Whether its team had more than its share when it came. */
  isBeyondShare: boolean;
  /** How long it was expected to wait, in milliseconds. */
  expectedWaitMs: number;
  /** Prompt tokens that will probably have to be read. */
  toRead: number;
  /** The server whose turn it waits for; absent when it takes the first that has room. */
  server: string | undefined;
  answer(answer: PermitAnswer): void;
}

/** Names one wish of one router. */
export interface WishName {
  node: string;
  requestId: string;
  attempt: number;
}

/** Requests that the same servers could take. */
export interface Lane {
  readonly name: string;
  /** What lanes of short and long prompts for the same servers have in common. */
  readonly target: string;
  /** The server whose turn is waited for; absent when any will do. */
  readonly server: string | undefined;
  readonly isLong: boolean;
  readonly isBeyondShare: boolean;
  readonly teams: ReadonlyMap<string, TeamQueue>;
}

/** A lane's next request. */
export interface Head {
  lane: Lane;
  waiting: Waiting;
}

/** The queue of one shard. */
export interface FairQueue {
  add(waiting: Waiting): void;
  /** @returns whether it was there */
  remove(waiting: Waiting): boolean;
  find(wish: WishName): Waiting | undefined;
  /** The request whose turn is first, in the lanes that are not left out. */
  first(without: ReadonlySet<Lane>): Head | undefined;
  /** A request whose latest start has passed. */
  overdue(now: number): Waiting | undefined;
  lanes(): Iterable<Lane>;
  waiting(): Iterable<Waiting>;
  size(): number;
  charge(charge: TeamCharge): void;
}

/** How a queue orders teams. */
export interface QueueTerms {
  share: FairShare;
  /** False: by priority and first-token time alone, whoever asks. */
  isFair: boolean;
}

interface OpenLane extends Lane {
  readonly teams: Map<string, TeamQueue>;
  readonly turns: OrderedHeap<TeamQueue>;
}

/**
 * What the lanes of a request have in common.
 *
 * @param query the request
 */
export function resolveTarget({ group, model, adapter, avoid }: PermitQuery): string {
  return JSON.stringify([group, model, adapter, avoid]);
}

/**
 * Creates an empty queue.
 *
 * @param terms how teams take turns
 */
export function createFairQueue(terms: QueueTerms): FairQueue {
  const { share, isFair } = terms;
  const byName = new Map<string, Waiting>();
  const lanes = new Map<string, OpenLane>();
  const lanesOfTeam = new Map<string, Set<OpenLane>>();
  const leastServed = createOrderedHeap<string>(
    (left, right) => share.served(left) < share.served(right),
  );
  const starts = createOrderedHeap<Waiting>((left, right) => left.startBy < right.startBy);

  function isBefore(left: TeamQueue, right: TeamQueue): boolean {
    const one = left.heap.peek();
    const other = right.heap.peek();
    if (one === undefined || other === undefined) return one !== undefined;
    return compare(one, other) < 0;
  }

  function compare(left: Waiting, right: Waiting): number {
    const one = left.query;
    const other = right.query;
    if (!isFair) return one.priority - other.priority || left.firstTokenBy - right.firstTokenBy;
    return (
      Number(left.isBeyondShare) - Number(right.isBeyondShare) ||
      share.band(one.team) - share.band(other.team) ||
      one.priority - other.priority ||
      share.served(one.team) - share.served(other.team) ||
      left.firstTokenBy - right.firstTokenBy
    );
  }

  function openLane(waiting: Waiting): OpenLane {
    const target = resolveTarget(waiting.query);
    const name = nameLane(waiting);
    const known = lanes.get(name);
    if (known !== undefined) return known;
    const { server, isLong, isBeyondShare } = waiting;
    const opened: OpenLane = {
      name,
      target,
      server,
      isLong,
      isBeyondShare,
      teams: new Map<string, TeamQueue>(),
      turns: createOrderedHeap(isBefore),
    };
    lanes.set(name, opened);
    return opened;
  }

  function openTeam(lane: OpenLane, { team, weight }: PermitQuery): TeamQueue {
    const known = lane.teams.get(team);
    if (known !== undefined) return known;
    const opened = createTeamQueue(team, weight);
    lane.teams.set(team, opened);
    const others = lanesOfTeam.get(team) ?? new Set();
    lanesOfTeam.set(team, others.add(lane));
    return opened;
  }

  function closeTeam(lane: OpenLane, queue: TeamQueue): void {
    lane.turns.remove(queue);
    lane.teams.delete(queue.team);
    if (lane.teams.size === 0) lanes.delete(lane.name);
    const others = lanesOfTeam.get(queue.team);
    others?.delete(lane);
    if (others === undefined || others.size > 0) return;
    lanesOfTeam.delete(queue.team);
    leastServed.remove(queue.team);
  }

  /** The order of teams follows what they were served. */
  function reorder(team: string): void {
    leastServed.update(team);
    for (const lane of lanesOfTeam.get(team) ?? []) {
      const queue = lane.teams.get(team);
      if (queue !== undefined) lane.turns.update(queue);
    }
  }

  function advance(): void {
    const least = leastServed.peek();
    if (least !== undefined) share.advance(share.served(least));
  }

  return {
    add(waiting) {
      const { query } = waiting;
      advance();
      if (!lanesOfTeam.has(query.team)) {
        share.enter(query.team);
        leastServed.push(query.team);
      }
      byName.set(nameWish(resolveWish(waiting)), waiting);
      starts.push(waiting);
      const lane = openLane(waiting);
      const queue = openTeam(lane, query);
      queue.add(waiting);
      if (lane.turns.has(queue)) lane.turns.update(queue);
      else lane.turns.push(queue);
    },
    remove(waiting) {
      const lane = lanes.get(nameLane(waiting));
      const queue = lane?.teams.get(waiting.query.team);
      if (lane === undefined || queue?.remove(waiting) !== true) return false;
      byName.delete(nameWish(resolveWish(waiting)));
      starts.remove(waiting);
      if (queue.heap.size() === 0) closeTeam(lane, queue);
      else lane.turns.update(queue);
      return true;
    },
    find: (wish) => byName.get(nameWish(wish)),
    first(without) {
      let best: Head | undefined;
      for (const lane of lanes.values()) {
        const waiting = lane.turns.peek()?.heap.peek();
        if (waiting === undefined || without.has(lane)) continue;
        if (best === undefined || compare(waiting, best.waiting) < 0) best = { lane, waiting };
      }
      return best;
    },
    overdue(now) {
      const first = starts.peek();
      return first !== undefined && first.startBy <= now ? first : undefined;
    },
    lanes: () => lanes.values(),
    waiting: () => byName.values(),
    size: () => byName.size,
    charge(charge) {
      // While nobody waits, the team that is served carries the common floor with it.
      if (leastServed.size() === 0) share.advance(share.served(charge.team));
      share.charge(charge);
      reorder(charge.team);
      advance();
    },
  };
}

function nameLane(waiting: Waiting): string {
  const { isLong, isBeyondShare, server = '', query } = waiting;
  return JSON.stringify([isLong, isBeyondShare, server, resolveTarget(query)]);
}

function resolveWish({ node, query }: Waiting): WishName {
  return { node, requestId: query.requestId, attempt: query.attempt };
}

function nameWish({ node, requestId, attempt }: WishName): string {
  return JSON.stringify([node, requestId, attempt]);
}
