/**
 * Chooses the server for the next request: the one with the least estimated time for the request,
 * including the slowdown of requests already running there. Prefill and decode may go to different
 * engines if engines have roles. Changes no state.
 */
import type { PermitQuery } from '../links/index.js';
import type { LineFit } from './line-fit.js';
import { hasRoom, type RoomTerms } from './room.js';
import {
  countPrefillQueueTokens,
  countUncachedTokens,
  type ClassifiedRequest,
  type Server,
} from './server.js';

/** Estimates the prompt tokens that need prefill on a server. */
export interface CacheView {
  countUncachedTokens(server: Server, query: PermitQuery): number;
}

/** Leaves out the prefixes that the server has cached. */
export class IndexedCache implements CacheView {
  countUncachedTokens(server: Server, query: PermitQuery): number {
    return countUncachedTokens(server, query);
  }
}

/** Ignores the prefix cache: the whole prompt counts on every server. */
export class NoCache implements CacheView {
  countUncachedTokens(_server: Server, query: PermitQuery): number {
    return query.promptTokens;
  }
}

/** The servers chosen for a request. */
export interface ServerChoice {
  server: Server;
  /** The server that prefills the prompt, if it is a different one. */
  prefill: Server | undefined;
}

/** Input of a choice. */
export interface ChoiceInput {
  request: ClassifiedRequest;
  /** Servers that can serve the request, whether or not they have room. */
  candidates: readonly Server[];
  cache: CacheView;
  /** Whether prefill and decode may run on different engines. */
  handover: boolean;
  /** Time of a KV cache handover in milliseconds, by prompt tokens. */
  handoverMs: LineFit;
  now: number;
  terms: RoomTerms;
}

interface CostedChoice extends ServerChoice {
  costMs: number;
}

/**
 * Chooses among the servers with room; `undefined` if there is none.
 *
 * @param input the request and the candidates
 */
export function chooseServer(input: ChoiceInput): ServerChoice | undefined {
  const mixed = chooseMixed(input);
  const pair = input.handover ? choosePair(input) : undefined;
  if (mixed === undefined) return pair;
  return pair !== undefined && pair.costMs < mixed.costMs ? pair : mixed;
}

function chooseMixed(input: ChoiceInput): CostedChoice | undefined {
  const { request, now } = input;
  let best: CostedChoice | undefined;
  for (const server of listWithRoom(input)) {
    if (server.role !== 'mixed') continue;
    const costMs =
      (resolvePrefillMs(server, input) + resolveSharedDecodeMs(server, request, now)) *
      resolveHealthPenalty(server);
    if (best === undefined || costMs < best.costMs) best = { server, prefill: undefined, costMs };
  }
  return best;
}

/** Chooses an engine with the prefill role and another one for decode. */
function choosePair(input: ChoiceInput): CostedChoice | undefined {
  const { request, handoverMs, now } = input;
  let prefillServer: Server | undefined;
  let decodeServer: Server | undefined;
  let leastPrefillMs = Number.POSITIVE_INFINITY;
  let leastDecodeMs = Number.POSITIVE_INFINITY;
  for (const server of listWithRoom(input)) {
    const prefillMs = resolvePrefillMs(server, input) * resolveHealthPenalty(server);
    const decodeMs = resolveSharedDecodeMs(server, request, now) * resolveHealthPenalty(server);
    if (server.role === 'prefill' && prefillMs < leastPrefillMs) {
      prefillServer = server;
      leastPrefillMs = prefillMs;
    }
    if (server.role !== 'prefill' && decodeMs < leastDecodeMs) {
      decodeServer = server;
      leastDecodeMs = decodeMs;
    }
  }
  if (prefillServer === undefined || decodeServer === undefined) return undefined;
  const transferMs = handoverMs.valueAt(request.query.promptTokens, now);
  return {
    server: decodeServer,
    prefill: prefillServer,
    costMs: leastPrefillMs + transferMs + leastDecodeMs,
  };
}

function listWithRoom({ candidates, request, now, terms }: ChoiceInput): Server[] {
  const withRoom: Server[] = [];
  for (const server of candidates) {
    if (hasRoom(server, request, now, terms)) withRoom.push(server);
  }
  return withRoom;
}

function resolvePrefillMs(server: Server, { request, cache, now }: ChoiceInput): number {
  const uncachedTokens = cache.countUncachedTokens(server, request.query);
  return server.rates.firstTokenMs(
    countPrefillQueueTokens(server, request.isLong) + uncachedTokens,
    now,
  );
}

/**
 * Decode time of a request on a server, including the slowdown of the other requests in its batch.
 *
 * @param server the server
 * @param request the request
 * @param now the time on the holder's clock
 */
export function resolveSharedDecodeMs(
  server: Server,
  request: ClassifiedRequest,
  now: number,
): number {
  const { rates, permits, slots } = server;
  const batch = permits.size;
  const stepMs = rates.stepMs(batch + 1, now);
  const slowdownMs = (stepMs - rates.stepMs(batch, now)) * batch;
  // Decides between workers of a plain service, which generate no tokens.
  const loadMs = (rates.callMs(now) * batch) / Math.max(1, slots);
  return request.query.expectedOutputTokens * (stepMs + slowdownMs) + loadMs;
}

/**
 * Factor, at least 1, that is applied to the estimated times of a server with recent failures.
 *
 * @param server the server
 */
export function resolveHealthPenalty(server: Server): number {
  return 1 + server.health.failureScore();
}
