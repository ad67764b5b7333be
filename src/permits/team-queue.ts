/**
 * The requests of one team that wait for the same servers: the most urgent priority first, within
 * it the earliest first-token time. Sums are kept by priority, so that the work ahead of a request
 * is known without a walk.
 */
import type { WaitingRequest } from './queue.js';
import { createOrderedHeap, type OrderedHeap } from './ordered-heap.js';

/** Work that waits. */
export interface Backlog {
  requests: number;
  promptTokens: number;
  outputTokens: number;
}

/** The queue of one team within a subqueue. */
export interface TeamQueue {
  readonly team: string;
  readonly weight: number;
  readonly heap: OrderedHeap<WaitingRequest>;
  add(waiting: WaitingRequest): void;
  /** @returns whether it was there */
  remove(waiting: WaitingRequest): boolean;
  /** Everything that waits, or only what is at least as urgent as a priority. */
  backlog(priority?: number): Backlog;
}

/**
 * Creates an empty queue.
 *
 * @param team whose it is
 * @param weight the team's share in relation to other teams
 */
export function createTeamQueue(team: string, weight: number): TeamQueue {
  const heap = createOrderedHeap(isSooner);
  const backlogs = new Map<number, Backlog>();

  function count({ query, uncachedTokens }: WaitingRequest, sign: 1 | -1): void {
    const backlog = backlogs.get(query.priority) ?? createBacklog();
    backlog.requests += sign;
    backlog.promptTokens += sign * uncachedTokens;
    backlog.outputTokens += sign * query.expectedOutputTokens;
    if (backlog.requests > 0) backlogs.set(query.priority, backlog);
    else backlogs.delete(query.priority);
  }

  return {
    team,
    weight,
    heap,
    add(waiting) {
      heap.push(waiting);
      count(waiting, 1);
    },
    remove(waiting) {
      if (!heap.remove(waiting)) return false;
      count(waiting, -1);
      return true;
    },
    backlog(priority = Number.POSITIVE_INFINITY) {
      const sum = createBacklog();
      for (const [urgency, backlog] of backlogs) {
        if (urgency <= priority) addBacklog(sum, backlog);
      }
      return sum;
    },
  };
}

/** A backlog of nothing. */
export function createBacklog(): Backlog {
  return { requests: 0, promptTokens: 0, outputTokens: 0 };
}

/**
 * Adds one backlog to another.
 *
 * @param sum the one to change
 * @param more what is added
 * @param share the part of it that is added, from 0 to 1
 */
export function addBacklog(sum: Backlog, more: Backlog, share = 1): void {
  sum.requests += more.requests * share;
  sum.promptTokens += more.promptTokens * share;
  sum.outputTokens += more.outputTokens * share;
}

function isSooner(left: WaitingRequest, right: WaitingRequest): boolean {
  const order =
    left.query.priority - right.query.priority ||
    left.firstTokenDeadline - right.firstTokenDeadline ||
    left.arrivedAt - right.arrivedAt;
  return order < 0;
}
