/**
 * Whether a server has room for a request: a free slot, KV cache, a batch within the inter-token
 * latency objectives and a bounded prefill queue. Some slots are reserved for short prompts and for
 * teams within their fair share.
 */
import type { PermitQuery } from '../links/index.js';
import {
  countLongPrompts,
  countPrefillQueueTokens,
  countUncachedTokens,
  type ClassifiedRequest,
  type Server,
} from './server.js';

/** The bounds in effect. */
export interface RoomTerms {
  /** Reserve slots for teams within their fair share. */
  fairness: boolean;
  /** Bound the prefill queue and reserve slots for short prompts. */
  shortReserve: boolean;
  /** Reduce the limits of servers with failures. */
  ejection: boolean;
  /** Ejected servers that are used nevertheless. */
  ejectionExempt: ReadonlySet<Server>;
}

/** The prefill queue of a server is bounded to the tokens that it prefills in this time. */
export const PREFILL_WINDOW_MS = 250;
/** Share of the slots that is reserved for short prompts. */
const SHORT_PROMPT_SHARE = 0.25;
/** Share of the slots that is reserved for teams within their fair share. */
const FAIR_TEAM_SHARE = 0.25;
/** Decode steps may take this share of the inter-token latency objective, as their time varies. */
const STEP_HEADROOM = 0.85;
/** Share of the slots that is used regardless of the inter-token latency. */
const MIN_BATCH_SHARE = 0.25;
/** A prefilling long prompt is not overtaken by short ones after this share of its allowed time. */
const URGENT_SHARE = 0.5;

/**
 * Whether a server has room for a request.
 *
 * @param server the server
 * @param request the request
 * @param now the time on the holder's clock
 * @param terms the bounds in effect
 */
export function hasRoom(
  server: Server,
  request: ClassifiedRequest,
  now: number,
  terms: RoomTerms,
): boolean {
  const limit = resolveLimit(server, now, terms);
  if (server.permits.size >= limit - resolveReservedSlots(limit, request, terms)) return false;
  if (!hasKvRoom(server, request.query)) return false;
  if (server.permits.size === 0) return true;
  if (!meetsInterTokenLatency(server, request.query, limit, now)) return false;
  return !terms.shortReserve || hasPrefillRoom(server, request, limit, now);
}

/**
 * Maximum number of concurrent requests on a server, given its health.
 *
 * @param server the server
 * @param now the time on the holder's clock
 * @param terms the bounds in effect
 */
export function resolveLimit(server: Server, now: number, terms: RoomTerms): number {
  if (!terms.ejection) return server.slots;
  if (terms.ejectionExempt.has(server)) return server.health.exemptLimit(server.slots);
  return server.health.limit(server.slots, now);
}

/** Slots that a team beyond its fair share leaves free for other teams. */
function resolveReservedSlots(limit: number, request: ClassifiedRequest, terms: RoomTerms): number {
  if (!terms.fairness || !request.isBeyondShare) return 0;
  return Math.floor(limit * FAIR_TEAM_SHARE);
}

/** A request larger than the whole KV cache may still run alone. */
function hasKvRoom(server: Server, { promptTokens, expectedOutputTokens }: PermitQuery): boolean {
  if (server.permits.size === 0) return true;
  return server.reservedTokens + promptTokens + expectedOutputTokens <= server.kvTokens;
}

function meetsInterTokenLatency(
  server: Server,
  query: PermitQuery,
  limit: number,
  now: number,
): boolean {
  const batch = server.permits.size + 1;
  if (batch <= limit * MIN_BATCH_SHARE) return true;
  let objectiveMs = query.betweenTokensMs ?? Number.POSITIVE_INFINITY;
  for (const { betweenTokensMs } of server.permits.values()) {
    objectiveMs = Math.min(objectiveMs, betweenTokensMs);
  }
  return server.rates.stepMs(batch, now) <= objectiveMs * STEP_HEADROOM;
}

function hasPrefillRoom(
  server: Server,
  request: ClassifiedRequest,
  limit: number,
  now: number,
): boolean {
  const { query, isLong } = request;
  const longSlots = Math.max(1, Math.floor(limit * (1 - SHORT_PROMPT_SHARE)));
  if (isLong && countLongPrompts(server) >= longSlots) return false;
  if (isLong && !isPrefillingLong(server)) return true;
  if (server.prefilling.size === 0) return true;
  if (!isLong && isPrefillingUrgentLong(server, now)) return false;
  const tokens = countPrefillQueueTokens(server, isLong) + countUncachedTokens(server, query);
  return tokens <= server.rates.tokensPrefilledIn(PREFILL_WINDOW_MS, now);
}

/** One long prompt may always be prefilled, since the engine lets short ones overtake it. */
function isPrefillingLong(server: Server): boolean {
  for (const { isLong } of server.prefilling.values()) {
    if (isLong) return true;
  }
  return false;
}

function isPrefillingUrgentLong(server: Server, now: number): boolean {
  for (const { isLong, pendingPrefill, grantedAt } of server.prefilling.values()) {
    if (!isLong || pendingPrefill === undefined) continue;
    const allowedMs = pendingPrefill.firstTokenDeadline - grantedAt;
    if (now - grantedAt > Math.max(pendingPrefill.expectedMs, allowedMs * URGENT_SHARE))
      return true;
  }
  return false;
}

/** Maximum share of the candidates that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;

/**
 * Returns the ejected servers beyond the maximum share, which are used nevertheless: those whose
 * ejection ends first. This keeps a group in use if all of its servers fail.
 *
 * @param candidates the servers that can serve a request
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
