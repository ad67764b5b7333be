/**
 * How long servers together take for work that waits, by their learned rates. A server that is
 * slower or gets less for its failures counts for less.
 */
import { resolveLimit, type RoomTerms } from './room.js';
import type { Server } from './server.js';
import type { Backlog } from './team-queue.js';

/** Share of the places that is reckoned with: a batch is rarely full. */
const USUAL_BATCH_SHARE = 0.75;
/** Places that a server counts with while it gets nothing for its failures. */
const LEAST_PLACES = 1;

/**
 * Time in which servers together do some work, in milliseconds; infinite without any server.
 *
 * @param servers those that share the work
 * @param work what is to be done
 * @param now the time on the holder's clock
 * @param terms which bounds hold
 */
export function resolveWorkMs(
  servers: readonly Server[],
  work: Backlog,
  now: number,
  terms: RoomTerms,
): number {
  if (work.requests === 0) return 0;
  let speed = 0;
  for (const server of servers) {
    speed += 1 / Math.max(Number.MIN_VALUE, workMs(server, work, now, terms));
  }
  return speed === 0 ? Number.POSITIVE_INFINITY : 1 / speed;
}

/**
 * The batch in which a server usually generates.
 *
 * @param server its tally
 * @param now the time on the holder's clock
 * @param terms which bounds hold
 */
export function resolveTypicalBatch(server: Server, now: number, terms: RoomTerms): number {
  const limit = Math.max(LEAST_PLACES, resolveLimit(server, now, terms));
  return Math.max(1, Math.floor(limit * USUAL_BATCH_SHARE));
}

function workMs(server: Server, work: Backlog, now: number, terms: RoomTerms): number {
  const { rates } = server;
  const places = Math.max(LEAST_PLACES, resolveLimit(server, now, terms));
  if (server.vm.kind === 'plain-service') {
    return (work.requests * rates.callMs(now)) / places;
  }
  const batch = resolveTypicalBatch(server, now, terms);
  const readMs = work.promptTokens / Math.max(Number.MIN_VALUE, rates.tokensPrefilledIn(1, now));
  const decodeMs = (work.outputTokens * rates.stepMs(batch, now)) / batch;
  // Both rates were learned while the other work went on beside, so the longer one is the time.
  return Math.max(readMs, decodeMs);
}
