/**
 * The queue of a shard, split into subqueues to avoid head-of-line blocking: requests are separated
 * by the server that they wait for or the set of servers that can take them, by short and long
 * prompts, and by teams within and beyond their fair share. Within a subqueue, teams are ordered by
 * fair queueing, and the requests of a team by priority and deadline. A change takes O(log n).
 */
import type { PermitAnswer, PermitQuery } from '../links/index.js';
import type { FairShare, TeamCharge } from './fair-share.js';
import { createOrderedHeap, type OrderedHeap } from './ordered-heap.js';
import { createTeamQueue, type TeamQueue } from './team-queue.js';

/** A request that waits for a permit. */
export interface WaitingRequest {
  query: PermitQuery;
  /** The node that sent the query. */
  node: string;
  /** Arrival time, on the holder's clock. */
  arrivedAt: number;
  /** Time by which the first token is due, on the holder's clock. */
  firstTokenDeadline: number;
  /** Latest grant that can still meet the first-token deadline, on the holder's clock. */
  latestGrantAt: number;
  /** Whether the prompt is classified as long. */
  isLong: boolean;
  /** Whether the team exceeded its fair share on arrival. */
  isBeyondShare: boolean;
  /** Estimated queueing delay on arrival, in milliseconds. */
  expectedWaitMs: number;
  /** Prompt tokens that are expected to need prefill. */
  uncachedTokens: number;
  /** The server that the request is assigned to; `undefined` if any eligible server may take it. */
  server: string | undefined;
  answer(answer: PermitAnswer): void;
}

/** Identifies a permit query. */
export interface RequestKey {
  node: string;
  requestId: string;
  attempt: number;
}

/** Requests of one kind that the same servers can take. */
export interface Subqueue {
  readonly name: string;
  /** Equal for subqueues whose requests can be served by the same servers. */
  readonly eligibilityKey: string;
  /** The server that the requests are assigned to; `undefined` if any eligible server may take them. */
  readonly server: string | undefined;
  readonly isLong: boolean;
  readonly isBeyondShare: boolean;
  readonly teams: ReadonlyMap<string, TeamQueue>;
}

/** The next request of a subqueue. */
export interface SubqueueHead {
  subqueue: Subqueue;
  waiting: WaitingRequest;
}

/** The queue of one shard. */
export interface FairQueue {
  add(waiting: WaitingRequest): void;
  /** @returns whether the request was in the queue */
  remove(waiting: WaitingRequest): boolean;
  find(key: RequestKey): WaitingRequest | undefined;
  /** The first request in order, apart from the excluded subqueues. */
  first(excluded: ReadonlySet<Subqueue>): SubqueueHead | undefined;
  /** A request whose latest grant time has passed. */
  expired(now: number): WaitingRequest | undefined;
  subqueues(): Iterable<Subqueue>;
  waiting(): Iterable<WaitingRequest>;
  size(): number;
  charge(charge: TeamCharge): void;
}

/** Ordering of a queue. */
export interface QueueTerms {
  share: FairShare;
  /** If false, requests are ordered by priority and first-token deadline regardless of the team. */
  isFair: boolean;
}

interface MutableSubqueue extends Subqueue {
  readonly teams: Map<string, TeamQueue>;
  readonly teamHeap: OrderedHeap<TeamQueue>;
}

/**
 * Returns a key that is equal for requests which the same servers can serve.
 *
 * @param query the request
 */
export function resolveEligibilityKey({ group, model, adapter, avoid }: PermitQuery): string {
  return JSON.stringify([group, model, adapter, avoid]);
}

/**
 * Creates an empty queue.
 *
 * @param terms the ordering
 */
export function createFairQueue(terms: QueueTerms): FairQueue {
  const { share, isFair } = terms;
  const byKey = new Map<string, WaitingRequest>();
  const subqueues = new Map<string, MutableSubqueue>();
  const subqueuesByTeam = new Map<string, Set<MutableSubqueue>>();
  const leastServed = createOrderedHeap<string>(
    (left, right) => share.served(left) < share.served(right),
  );
  const latestGrants = createOrderedHeap<WaitingRequest>(
    (left, right) => left.latestGrantAt < right.latestGrantAt,
  );

  function isTeamBefore(left: TeamQueue, right: TeamQueue): boolean {
    const one = left.heap.peek();
    const other = right.heap.peek();
    if (one === undefined || other === undefined) return one !== undefined;
    return compare(one, other) < 0;
  }

  function compare(left: WaitingRequest, right: WaitingRequest): number {
    const one = left.query;
    const other = right.query;
    if (!isFair)
      return one.priority - other.priority || left.firstTokenDeadline - right.firstTokenDeadline;
    return (
      Number(left.isBeyondShare) - Number(right.isBeyondShare) ||
      share.band(one.team) - share.band(other.team) ||
      one.priority - other.priority ||
      share.served(one.team) - share.served(other.team) ||
      left.firstTokenDeadline - right.firstTokenDeadline
    );
  }

  function openSubqueue(waiting: WaitingRequest): MutableSubqueue {
    const target = resolveEligibilityKey(waiting.query);
    const name = formatSubqueueName(waiting);
    const known = subqueues.get(name);
    if (known !== undefined) return known;
    const { server, isLong, isBeyondShare } = waiting;
    const opened: MutableSubqueue = {
      name,
      eligibilityKey: target,
      server,
      isLong,
      isBeyondShare,
      teams: new Map<string, TeamQueue>(),
      teamHeap: createOrderedHeap(isTeamBefore),
    };
    subqueues.set(name, opened);
    return opened;
  }

  function openTeam(subqueue: MutableSubqueue, { team, weight }: PermitQuery): TeamQueue {
    const known = subqueue.teams.get(team);
    if (known !== undefined) return known;
    const opened = createTeamQueue(team, weight);
    subqueue.teams.set(team, opened);
    const others = subqueuesByTeam.get(team) ?? new Set();
    subqueuesByTeam.set(team, others.add(subqueue));
    return opened;
  }

  function closeTeam(subqueue: MutableSubqueue, queue: TeamQueue): void {
    subqueue.teamHeap.remove(queue);
    subqueue.teams.delete(queue.team);
    if (subqueue.teams.size === 0) subqueues.delete(subqueue.name);
    const others = subqueuesByTeam.get(queue.team);
    others?.delete(subqueue);
    if (others === undefined || others.size > 0) return;
    subqueuesByTeam.delete(queue.team);
    leastServed.remove(queue.team);
  }

  /** Restores the order of teams after the service of one changed. */
  function reorder(team: string): void {
    leastServed.update(team);
    for (const subqueue of subqueuesByTeam.get(team) ?? []) {
      const queue = subqueue.teams.get(team);
      if (queue !== undefined) subqueue.teamHeap.update(queue);
    }
  }

  function advanceFloor(): void {
    const least = leastServed.peek();
    if (least !== undefined) share.advanceFloor(share.served(least));
  }

  return {
    add(waiting) {
      const { query } = waiting;
      advanceFloor();
      if (!subqueuesByTeam.has(query.team)) {
        share.activate(query.team);
        leastServed.push(query.team);
      }
      byKey.set(formatKey(resolveKey(waiting)), waiting);
      latestGrants.push(waiting);
      const subqueue = openSubqueue(waiting);
      const queue = openTeam(subqueue, query);
      queue.add(waiting);
      if (subqueue.teamHeap.has(queue)) subqueue.teamHeap.update(queue);
      else subqueue.teamHeap.push(queue);
    },
    remove(waiting) {
      const subqueue = subqueues.get(formatSubqueueName(waiting));
      const queue = subqueue?.teams.get(waiting.query.team);
      if (subqueue === undefined || queue?.remove(waiting) !== true) return false;
      byKey.delete(formatKey(resolveKey(waiting)));
      latestGrants.remove(waiting);
      if (queue.heap.size() === 0) closeTeam(subqueue, queue);
      else subqueue.teamHeap.update(queue);
      return true;
    },
    find: (key) => byKey.get(formatKey(key)),
    first(excluded) {
      let best: SubqueueHead | undefined;
      for (const subqueue of subqueues.values()) {
        const waiting = subqueue.teamHeap.peek()?.heap.peek();
        if (waiting === undefined || excluded.has(subqueue)) continue;
        if (best === undefined || compare(waiting, best.waiting) < 0) best = { subqueue, waiting };
      }
      return best;
    },
    expired(now) {
      const first = latestGrants.peek();
      return first !== undefined && first.latestGrantAt <= now ? first : undefined;
    },
    subqueues: () => subqueues.values(),
    waiting: () => byKey.values(),
    size: () => byKey.size,
    charge(charge) {
      // With an empty queue, the floor follows the team that is served.
      if (leastServed.size() === 0) share.advanceFloor(share.served(charge.team));
      share.charge(charge);
      reorder(charge.team);
      advanceFloor();
    },
  };
}

function formatSubqueueName(waiting: WaitingRequest): string {
  const { isLong, isBeyondShare, server = '', query } = waiting;
  return JSON.stringify([isLong, isBeyondShare, server, resolveEligibilityKey(query)]);
}

function resolveKey({ node, query }: WaitingRequest): RequestKey {
  return { node, requestId: query.requestId, attempt: query.attempt };
}

function formatKey({ node, requestId, attempt }: RequestKey): string {
  return JSON.stringify([node, requestId, attempt]);
}
