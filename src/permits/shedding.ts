/**
 * Selects waiting requests to refuse: those that can no longer meet their deadline, those that no
 * server can serve, and, after the loss of servers, those whose estimate exceeds their latency
 * objective. The caller must remove each request from the queue before it asks for the next.
 */
import type { PermitQuery } from '../links/index.js';
import type { LatencyEstimate } from './admission.js';
import type { FairQueue, WaitingRequest } from './queue.js';
import type { RefusalReason } from './refusals.js';
import { sortLeastUrgentFirst, type ShardDecisions } from './shard-decisions.js';

/** Retry-After of refusals that do not depend on the queue, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/** A waiting request that is to be refused. */
export interface ShedRequest {
  waiting: WaitingRequest;
  reason: RefusalReason;
  retryAfterMs: number;
}

/**
 * Lists requests whose latest grant time has passed.
 *
 * @param queue the shard's queue
 * @param now the time on the holder's clock
 */
export function* listExpired(queue: FairQueue, now: number): Generator<ShedRequest> {
  for (;;) {
    const waiting = queue.expired(now);
    if (waiting === undefined) return;
    const retryAfterMs = Math.max(RETRY_AFTER_MS, waiting.expectedWaitMs);
    yield { waiting, reason: 'not-in-time', retryAfterMs };
  }
}

/**
 * Lists requests without a server that can serve them.
 *
 * @param queue the shard's queue
 * @param decisions selects the servers for a request
 */
export function* listUnservable(
  queue: FairQueue,
  decisions: Pick<ShardDecisions, 'candidates'>,
): Generator<ShedRequest> {
  for (const { teams } of [...queue.subqueues()]) {
    for (const team of [...teams.values()]) {
      const first = team.heap.peek();
      // All requests of a subqueue have the same candidates.
      if (first === undefined || decisions.candidates(first.query).length > 0) break;
      for (const waiting of [...team.heap.items()]) {
        yield { waiting, reason: 'no-server', retryAfterMs: RETRY_AFTER_MS };
      }
    }
  }
}

/**
 * Lists requests whose estimate exceeds their latency objective, the least urgent of each team
 * first, until one is on time: each removal shortens the estimates of the rest.
 *
 * @param queue the shard's queue
 * @param decisions estimates the latency of a request
 * @param now the time on the holder's clock
 */
export function* listLate(
  queue: FairQueue,
  decisions: Pick<ShardDecisions, 'estimate'>,
  now: number,
): Generator<ShedRequest> {
  for (const { teams } of [...queue.subqueues()]) {
    for (const team of [...teams.values()]) {
      for (const waiting of sortLeastUrgentFirst(team)) {
        const waitedMs = now - waiting.arrivedAt;
        const retryAfterMs = resolveLatenessMs(
          waiting.query,
          decisions.estimate(waiting, now),
          waitedMs,
        );
        if (retryAfterMs <= 0) break;
        yield { waiting, reason: 'too-late', retryAfterMs };
      }
    }
  }
}

/**
 * Returns by how much a request would miss its latency objective, in milliseconds; 0 or less if it
 * would meet it.
 *
 * @param query the request
 * @param estimate the estimate from now on
 * @param waitedMs time since the arrival of the request
 */
export function resolveLatenessMs(
  query: PermitQuery,
  { queueingMs, prefillMs, decodeMs }: LatencyEstimate,
  waitedMs = 0,
): number {
  const firstTokenMs = waitedMs + queueingMs + prefillMs;
  const endMs = firstTokenMs + decodeMs;
  return Math.max(firstTokenMs - query.firstTokenInMs, endMs - query.deadlineInMs);
}
