/**
 * Which requests stop waiting: those that can no longer be on time, those that no server can take,
 * and, after servers were lost, those for which too little is left. Decides only; whoever asks takes
 * each one out of the queue before the next.
 */
import type { PermitQuery } from '../links/index.js';
import type { Forecast } from './admission.js';
import type { FairQueue, Waiting } from './queue.js';
import type { RefusalReason } from './refusals.js';
import { resolveLastFirst, type ShardDecisions } from './shard-decisions.js';

/** When to come back after a refusal that says nothing of the queue, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/** A request that stops waiting. */
export interface GivenUp {
  waiting: Waiting;
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
export function* listOverdue(queue: FairQueue, now: number): Generator<GivenUp> {
  for (;;) {
    const waiting = queue.overdue(now);
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
export function* listHopeless(
  queue: FairQueue,
  decisions: Pick<ShardDecisions, 'candidates'>,
): Generator<GivenUp> {
  for (const { teams } of [...queue.lanes()]) {
    for (const team of [...teams.values()]) {
      const first = team.heap.peek();
      // All requests of a lane can go to the same servers.
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
  decisions: Pick<ShardDecisions, 'forecast'>,
  now: number,
): Generator<GivenUp> {
  for (const { teams } of [...queue.lanes()]) {
    for (const team of [...teams.values()]) {
      for (const waiting of resolveLastFirst(team)) {
        const passedMs = now - waiting.since;
        const retryAfterMs = resolveLateMs(
          waiting.query,
          decisions.forecast(waiting, now),
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
export function resolveLateMs(
  query: PermitQuery,
  { waitMs, readMs, writeMs }: Forecast,
  passedMs = 0,
): number {
  const firstTokenMs = passedMs + waitMs + readMs;
  const endMs = firstTokenMs + writeMs;
  return Math.max(firstTokenMs - query.firstTokenInMs, endMs - query.deadlineInMs);
}
