/**
 * Which server a request gets, once it is its turn. A pure decision over the tallies and the
 * learned rates: the server where the request, and what it slows down, takes the least time. Where
 * engines have roles, the prompt may be read on one engine and the answer generated on another.
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

/** Says how much of a prompt a server still has to read. */
export interface CacheView {
  countUncachedTokens(server: Server, query: PermitQuery): number;
}

/** Counts the part of the prompt that a server has cached as read. */
export class IndexedCache implements CacheView {
  countUncachedTokens(server: Server, query: PermitQuery): number {
    return countUncachedTokens(server, query);
  }
}

/** Takes no cache into account: the whole prompt counts on every server. */
export class NoCache implements CacheView {
  countUncachedTokens(_server: Server, query: PermitQuery): number {
    return query.promptTokens;
  }
}

/** Where a request goes. */
export interface ServerChoice {
  server: Server;
  /** The server that reads the prompt, when it is another. */
  prefill: Server | undefined;
}

/** What a choice is made from. */
export interface ChoiceInput {
  request: ClassifiedRequest;
  /** Servers that can serve the request, with room or without. */
  candidates: readonly Server[];
  cache: CacheView;
  /** Whether prompts may be read on one engine and answers generated on another. */
  handover: boolean;
  /** Time that a handover takes, in milliseconds, over the tokens handed over. */
  handoverMs: LineFit;
  now: number;
  terms: RoomTerms;
}

interface Offer extends ServerChoice {
  costMs: number;
}

/**
 * Chooses among the servers with room.
 *
 * @param input the request, the servers and what is known of them
 */
export function chooseServer(input: ChoiceInput): ServerChoice | undefined {
  const direct = findDirect(input);
  const split = input.handover ? findSplit(input) : undefined;
  if (direct === undefined) return split;
  return split !== undefined && split.costMs < direct.costMs ? split : direct;
}

function findDirect(input: ChoiceInput): Offer | undefined {
  const { request, now } = input;
  let best: Offer | undefined;
  for (const server of listWithRoom(input)) {
    if (server.role !== 'mixed') continue;
    const costMs =
      (readMs(server, input) + resolveSharedDecodeMs(server, request, now)) *
      resolveHealthPenalty(server);
    if (best === undefined || costMs < best.costMs) best = { server, prefill: undefined, costMs };
  }
  return best;
}

/** The best engine to read on and the best one to generate on, when one of them has a role. */
function findSplit(input: ChoiceInput): Offer | undefined {
  const { request, handoverMs, now } = input;
  let reader: Server | undefined;
  let writer: Server | undefined;
  let leastReadMs = Number.POSITIVE_INFINITY;
  let leastWriteMs = Number.POSITIVE_INFINITY;
  for (const server of listWithRoom(input)) {
    const read = readMs(server, input) * resolveHealthPenalty(server);
    const write = resolveSharedDecodeMs(server, request, now) * resolveHealthPenalty(server);
    if (server.role === 'prefill' && read < leastReadMs) {
      reader = server;
      leastReadMs = read;
    }
    if (server.role !== 'prefill' && write < leastWriteMs) {
      writer = server;
      leastWriteMs = write;
    }
  }
  if (reader === undefined || writer === undefined) return undefined;
  const handedMs = handoverMs.valueAt(request.query.promptTokens, now);
  return { server: writer, prefill: reader, costMs: leastReadMs + handedMs + leastWriteMs };
}

function listWithRoom({ candidates, request, now, terms }: ChoiceInput): Server[] {
  const withRoom: Server[] = [];
  for (const server of candidates) {
    if (hasRoom(server, request, now, terms)) withRoom.push(server);
  }
  return withRoom;
}

function readMs(server: Server, { request, cache, now }: ChoiceInput): number {
  const uncachedTokens = cache.countUncachedTokens(server, request.query);
  return server.rates.firstTokenMs(
    countPrefillQueueTokens(server, request.isLong) + uncachedTokens,
    now,
  );
}

/**
 * Time of an answer's tokens on a server, with what they add to every other answer there.
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
  const alongsideMs = rates.stepMs(batch + 1, now);
  const slowdownMs = (alongsideMs - rates.stepMs(batch, now)) * batch;
  // Idle workers of a plain service are told apart by their load alone.
  const loadMs = (rates.callMs(now) * batch) / Math.max(1, slots);
  return request.query.expectedOutputTokens * (alongsideMs + slowdownMs) + loadMs;
}

/**
 * Factor by which a server's times count for more, for what speaks against it.
 *
 * @param server the server
 */
export function resolveHealthPenalty(server: Server): number {
  return 1 + server.health.failureScore();
}
