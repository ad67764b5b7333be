/**
 * Whether a server has room for a request now: a free place, KV memory, a batch in which tokens
 * still come in time, and a bounded amount of prompts to read, of which a share is kept for short
 * ones.
 */
import type { PermitQuery } from '../links/index.js';
import {
  countLongPrompts,
  countPrefillQueueTokens,
  countUncachedTokens,
  type ClassifiedRequest,
  type Server,
} from './server.js';

/** Which bounds hold. */
export interface RoomTerms {
  /** Keep places for teams within their share. */
  fairness: boolean;
  /** Bound the prompts being read and keep a share for short ones. */
  shortReserve: boolean;
  /** Give less to servers that fail. */
  ejection: boolean;
  /** Servers that are used although they are ejected. */
  ejectionExempt: ReadonlySet<Server>;
}

/** Prompts on a server are bounded to what it reads in this time. */
export const PREFILL_WINDOW_MS = 250;
/** Share of places that long prompts leave to short ones. */
const SHORT_SHARE = 0.25;
/** Share of places that teams beyond their share leave to the others. */
const KEPT_SHARE = 0.25;
/** A step may take this share of the longest time between tokens, for its length varies. */
const STEP_HEADROOM = 0.85;
/** Places that are always used, however slow tokens come. */
const LEAST_BATCH_SHARE = 0.25;
/** A long prompt that has waited this share of its time is no longer overtaken by short ones. */
const URGENT_SHARE = 0.5;

/**
 * Whether a server has room.
 *
 * @param server its tally
 * @param request the request
 * @param now the time on the holder's clock
 * @param terms which bounds hold
 */
export function hasRoom(
  server: Server,
  request: ClassifiedRequest,
  now: number,
  terms: RoomTerms,
): boolean {
  const limit = resolveLimit(server, now, terms);
  if (server.permits.size >= limit - keptPlaces(limit, request, terms)) return false;
  if (!hasKvRoom(server, request.query)) return false;
  if (server.permits.size === 0) return true;
  if (!keepsPace(server, request.query, limit, now)) return false;
  return !terms.shortReserve || hasReadingRoom(server, request, limit, now);
}

/**
 * Most requests that a server should have.
 *
 * @param server its tally
 * @param now the time on the holder's clock
 * @param terms which bounds hold
 */
export function resolveLimit(server: Server, now: number, terms: RoomTerms): number {
  if (!terms.ejection) return server.slots;
  if (terms.ejectionExempt.has(server)) return server.health.exemptLimit(server.slots);
  return server.health.limit(server.slots, now);
}

/** Places that a team beyond its share leaves free, so that others need not wait for its answers. */
function keptPlaces(limit: number, request: ClassifiedRequest, terms: RoomTerms): number {
  if (!terms.fairness || !request.isBeyondShare) return 0;
  return Math.floor(limit * KEPT_SHARE);
}

/** A request larger than the whole cache still runs when it is alone. */
function hasKvRoom(server: Server, { promptTokens, expectedOutputTokens }: PermitQuery): boolean {
  if (server.permits.size === 0) return true;
  return server.reservedTokens + promptTokens + expectedOutputTokens <= server.kvTokens;
}

function keepsPace(server: Server, query: PermitQuery, limit: number, now: number): boolean {
  const batch = server.permits.size + 1;
  if (batch <= limit * LEAST_BATCH_SHARE) return true;
  let longestMs = query.betweenTokensMs ?? Number.POSITIVE_INFINITY;
  for (const { betweenTokensMs } of server.permits.values()) {
    longestMs = Math.min(longestMs, betweenTokensMs);
  }
  return server.rates.stepMs(batch, now) <= longestMs * STEP_HEADROOM;
}

function hasReadingRoom(
  server: Server,
  request: ClassifiedRequest,
  limit: number,
  now: number,
): boolean {
  const { query, isLong } = request;
  const longPlaces = Math.max(1, Math.floor(limit * (1 - SHORT_SHARE)));
  if (isLong && countLongPrompts(server) >= longPlaces) return false;
  if (isLong && !hasLongReader(server)) return true;
  if (server.prefilling.size === 0) return true;
  if (!isLong && hasUrgentReader(server, now)) return false;
  const tokens = countPrefillQueueTokens(server, isLong) + countUncachedTokens(server, query);
  return tokens <= server.rates.tokensPrefilledIn(PREFILL_WINDOW_MS, now);
}

/** One long prompt may always be read, for short ones pass it by on the engine. */
function hasLongReader(server: Server): boolean {
  for (const { isLong } of server.prefilling.values()) {
    if (isLong) return true;
  }
  return false;
}

function hasUrgentReader(server: Server, now: number): boolean {
  for (const { isLong, pendingPrefill: pendingPrefill, grantedAt } of server.prefilling.values()) {
    if (!isLong || pendingPrefill === undefined) continue;
    const allowedMs = pendingPrefill.firstTokenDeadline - grantedAt;
    if (now - grantedAt > Math.max(pendingPrefill.expectedMs, allowedMs * URGENT_SHARE))
      return true;
  }
  return false;
}

/** Share of the servers for a request that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;

/**
 * The servers that are used although they are ejected, because too many of them are: those whose
 * probe is due first. So the failure of a whole group leaves the group in use.
 *
 * @param candidates the servers for a request
 */
export function resolveEjectionExempt(candidates: readonly Server[]): ReadonlySet<Server> {
  const ejected: Server[] = [];
  for (const server of candidates) {
    if (server.health.isEjected()) ejected.push(server);
  }
  const excess = ejected.length - Math.floor(candidates.length * MAX_EJECTED_SHARE);
  if (excess <= 0) return new Set();
  ejected.sort((left, right) => left.health.ejectedUntil() - right.health.ejectedUntil());
  return new Set(ejected.slice(0, excess));
}
