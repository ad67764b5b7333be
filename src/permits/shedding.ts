/**
 * Which requests stop waiting: those that can no longer be on time, those that no server can take,
 * and, after servers were lost, those for which too little is left. Decides only; whoever asks takes
 * each one out of the queue before the next.
 */
import type { PermitQuery } from '../links/index.js';
import type { LatencyEstimate } from './admission.js';
import type { FairQueue, WaitingRequest } from './queue.js';
import type { RefusalReason } from './refusals.js';
import { sortLeastUrgentFirst, type ShardDecisions } from './shard-decisions.js';

/** When to come back after a refusal that says nothing of the queue, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/** A request that stops waiting. */
export interface ShedRequest {
  waiting: WaitingRequest;
  reason: RefusalReason;
  /** When asking again makes sense, in milliseconds. */
  retryAfterMs: number;
}

/**
 * Requests whose latest start has passed.
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
 * Requests that no server can take any more.
 *
 * @param queue the shard's queue
 * @param decisions who can serve what
 */
export function* listUnservable(
  queue: FairQueue,
  decisions: Pick<ShardDecisions, 'candidates'>,
): Generator<ShedRequest> {
  for (const { teams } of [...queue.subqueues()]) {
    for (const team of [...teams.values()]) {
      const first = team.heap.peek();
      // All requests of a subqueue can go to the same servers.
      if (first === undefined || decisions.candidates(first.query).length > 0) break;
      for (const waiting of [...team.heap.items()]) {
        yield { waiting, reason: 'no-server', retryAfterMs: RETRY_AFTER_MS };
      }
    }
  }
}

/**
 * Requests that would be late by what is foretold now, the least urgent of each team first, until
 * the rest of its queue fits.
 *
 * @param queue the shard's queue
 * @param decisions what is foretold
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
        const passedMs = now - waiting.arrivedAt;
        const retryAfterMs = resolveLatenessMs(
          waiting.query,
          decisions.estimate(waiting, now),
          passedMs,
        );
        if (retryAfterMs <= 0) break;
        yield { waiting, reason: 'too-late', retryAfterMs };
      }
    }
  }
}

/**
 * How much later than allowed a request would be, in milliseconds; not above 0 when it is not.
 *
 * @param query the request
 * @param forecast what is foretold from now on
 * @param passedMs time that has passed since it came
 */
export function resolveLatenessMs(
  query: PermitQuery,
  { queueingMs, prefillMs: readMs, decodeMs }: LatencyEstimate,
  passedMs = 0,
): number {
  const firstTokenMs = passedMs + queueingMs + readMs;
  const endMs = firstTokenMs + decodeMs;
  return Math.max(firstTokenMs - query.firstTokenInMs, endMs - query.deadlineInMs);
}
