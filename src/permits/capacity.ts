/**
 * Estimates how long a set of servers takes for queued work, from their learned rates and the
 * limits that their health allows.
 */
import { resolveLimit, type RoomTerms } from './room.js';
import type { Server } from './server.js';
import type { Backlog } from './team-queue.js';

/** Share of the slots that a typical batch occupies. */
const TYPICAL_BATCH_SHARE = 0.75;
/** Slots assumed for an ejected server. */
const MIN_SLOTS = 1;

/**
 * Time in which servers together finish some work, in milliseconds; infinite without servers.
 *
 * @param servers the servers that share the work
 * @param work the queued work
 * @param now the time on the holder's clock
 * @param terms the bounds in effect
 */
export function resolveWorkMs(
  servers: readonly Server[],
  work: Backlog,
  now: number,
  terms: RoomTerms,
): number {
  if (work.requests === 0) return 0;
  let rate = 0;
  for (const server of servers) {
    rate += 1 / Math.max(Number.MIN_VALUE, workMs(server, work, now, terms));
  }
  return rate === 0 ? Number.POSITIVE_INFINITY : 1 / rate;
}

/**
 * The typical batch size of a server.
 *
 * @param server the server
 * @param now the time on the holder's clock
 * @param terms the bounds in effect
 */
export function resolveTypicalBatch(server: Server, now: number, terms: RoomTerms): number {
  const limit = Math.max(MIN_SLOTS, resolveLimit(server, now, terms));
  return Math.max(1, Math.floor(limit * TYPICAL_BATCH_SHARE));
}

function workMs(server: Server, work: Backlog, now: number, terms: RoomTerms): number {
  const { rates } = server;
  const slots = Math.max(MIN_SLOTS, resolveLimit(server, now, terms));
  if (server.vm.kind === 'plain-service') {
    return (work.requests * rates.callMs(now)) / slots;
  }
  const batch = resolveTypicalBatch(server, now, terms);
  const prefillMs = work.promptTokens / Math.max(Number.MIN_VALUE, rates.tokensPrefilledIn(1, now));
  const decodeMs = (work.outputTokens * rates.stepMs(batch, now)) / batch;
  // Each rate was measured while the other phase ran alongside, so the times overlap.
  return Math.max(prefillMs, decodeMs);
}
