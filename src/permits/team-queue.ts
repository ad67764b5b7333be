/**
 * The requests of one team within a subqueue, ordered by priority and then by first-token deadline.
 * Work is summed by priority, so that the work ahead of a request is known without iterating.
 */
import type { WaitingRequest } from './queue.js';
import { createOrderedHeap, type OrderedHeap } from './ordered-heap.js';

/** Queued work. */
export interface Backlog {
  requests: number;
  /** Prompt tokens that need prefill. */
  promptTokens: number;
  outputTokens: number;
}

/** The queue of one team within a subqueue. */
export interface TeamQueue {
  readonly team: string;
  readonly weight: number;
  readonly heap: OrderedHeap<WaitingRequest>;
  add(waiting: WaitingRequest): void;
  /** @returns whether the request was in the queue */
  remove(waiting: WaitingRequest): boolean;
  /** Sum of the queued work, optionally only of requests at least as urgent as a priority. */
  backlog(priority?: number): Backlog;
}

/**
 * Creates an empty queue.
 *
 * @param team name of the team
 * @param weight the team's weight relative to other teams
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

/** Creates an empty backlog. */
export function createBacklog(): Backlog {
  return { requests: 0, promptTokens: 0, outputTokens: 0 };
}

/**
 * Adds one backlog to another.
 *
 * @param sum the backlog to change
 * @param more the backlog to add
 * @param share fraction of `more` that is added, from 0 to 1
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
