/**
 * When a request's first token may be expected, from the work that goes before it, the servers'
 * learned rates and the fair share of its team. Another team's queue counts only as far as that
 * team's turns come first, so a large team's queue takes a small team's chance from it by no more
 * than its share.
 */
import type { PermitQuery } from '../links/index.js';
import { resolveTypicalBatch, resolveWorkMs } from './capacity.js';
import type { FairShare } from './fair-share.js';
import type { Subqueue } from './queue.js';
import { hasRoom, type RoomTerms } from './room.js';
import {
  resolveOutputWeight,
  countPrefillQueueTokens,
  countUncachedTokens,
  type ClassifiedRequest,
  type Server,
} from './server.js';
import { addBacklog, createBacklog, type Backlog, type TeamQueue } from './team-queue.js';

/** When things may be expected, in milliseconds from now. */
export interface LatencyEstimate {
  /** Until a permit. */
  queueingMs: number;
  /** From the permit to the first token. */
  prefillMs: number;
  /** From the first token to the end. */
  decodeMs: number;
}

/** A subqueue, as far as it waits for the servers of a forecast. */
export interface SubqueuePart {
  subqueue: Subqueue;
  /** From 0 to 1. */
  part: number;
}

/** What a forecast is made from. */
export interface LatencyEstimateInput {
  request: ClassifiedRequest;
  /** The servers that can serve the request, with room or without. */
  candidates: readonly Server[];
  /** The subqueues of requests for the same servers. */
  subqueues: readonly SubqueuePart[];
  share: FairShare;
  isFair: boolean;
  /** Factor by which waits turned out longer than foretold. */
  correction: number;
  /** Time between two permits that end, where it is known. */
  releaseIntervalMs: number;
  now: number;
  terms: RoomTerms;
}

/**
 * Foretells a request's times.
 *
 * @param input the request, the servers and what waits
 */
export function estimateLatency(input: LatencyEstimateInput): LatencyEstimate {
  const { request, candidates, now } = input;
  const readMs = resolvePrefillMs(request, candidates, now);
  const decodeMs = resolveWriteMs(input);
  // What stands in other subqueues found no room, or it would not stand there.
  const before = resolveAhead(input, isOwnLane);
  if (before.requests === 0 && hasAnyRoom(input))
    return { queueingMs: 0, prefillMs: readMs, decodeMs };
  const ahead = resolveAhead(input, isCompeting);
  const work = resolveWorkMs(candidates, ahead, now, input.terms);
  return {
    queueingMs: work * input.correction + input.releaseIntervalMs,
    prefillMs: readMs,
    decodeMs: decodeMs,
  };
}

/**
 * Least time from a permit to the first token on any of the servers, in milliseconds.
 *
 * @param request the request
 * @param candidates the servers
 * @param now the time on the holder's clock
 */
export function resolvePrefillMs(
  request: ClassifiedRequest,
  candidates: readonly Server[],
  now: number,
): number {
  let least = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const tokens =
      countPrefillQueueTokens(server, request.isLong) + countUncachedTokens(server, request.query);
    const { rates, vm } = server;
    const callMs = vm.kind === 'plain-service' ? rates.callMs(now) : 0;
    least = Math.min(least, rates.firstTokenMs(tokens, now) + callMs);
  }
  return least;
}

function resolveWriteMs({ request, candidates, now, terms }: LatencyEstimateInput): number {
  let least = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const batch = resolveTypicalBatch(server, now, terms);
    least = Math.min(least, server.rates.stepMs(batch, now));
  }
  return request.query.expectedOutputTokens * least;
}

function hasAnyRoom({ request, candidates, now, terms }: LatencyEstimateInput): boolean {
  for (const server of candidates) {
    if (hasRoom(server, request, now, terms)) return true;
  }
  return false;
}

/** Whether a request would stand in a subqueue. */
function isOwnLane(request: ClassifiedRequest, subqueue: Subqueue): boolean {
  return subqueue.isLong === request.isLong && subqueue.isBeyondShare === request.isBeyondShare;
}

/** Short prompts pass long ones by, and teams within their share those beyond it. */
function isCompeting(request: ClassifiedRequest, subqueue: Subqueue): boolean {
  if (subqueue.isBeyondShare && !request.isBeyondShare) return false;
  return request.isLong || !subqueue.isLong;
}

/** Work whose turn comes before the request's, in the subqueues that count. */
function resolveAhead(
  input: LatencyEstimateInput,
  counts: (request: ClassifiedRequest, subqueue: Subqueue) => boolean,
): Backlog {
  const { request, share } = input;
  const { query } = request;
  const subqueues = input.subqueues.filter(({ subqueue }) => counts(request, subqueue));
  const ahead = createBacklog();
  for (const { subqueue, part } of subqueues) {
    const queue = subqueue.teams.get(query.team);
    if (queue !== undefined) addBacklog(ahead, queue.backlog(query.priority), part);
  }
  const outputWeight = resolveLeastOutputWeight(input.candidates);
  const own = tokensOf(ahead, outputWeight) + tokensOfQuery(query, outputWeight);
  const finish = share.served(query.team) + own / query.weight;
  for (const { subqueue, part } of subqueues) {
    for (const queue of subqueue.teams.values()) {
      if (queue.team === query.team) continue;
      const before = input.isFair ? shareBefore(queue, share, finish, outputWeight) : 1;
      const others = input.isFair ? queue.backlog() : queue.backlog(query.priority);
      addBacklog(ahead, others, before * part);
    }
  }
  return ahead;
}

/** The part of another team's queue that is served until this team's turn has come. */
function shareBefore(
  queue: TeamQueue,
  share: FairShare,
  finish: number,
  outputWeight: number,
): number {
  const tokens = tokensOf(queue.backlog(), outputWeight);
  if (tokens === 0) return 1;
  const served = Math.max(0, finish - share.served(queue.team)) * queue.weight;
  return Math.min(1, served / tokens);
}

function resolveLeastOutputWeight(candidates: readonly Server[]): number {
  let least = Number.POSITIVE_INFINITY;
  for (const server of candidates) least = Math.min(least, resolveOutputWeight(server));
  return Number.isFinite(least) ? least : 1;
}

/** Work in prompt tokens to read. */
function tokensOf({ promptTokens, outputTokens }: Backlog, outputWeight: number): number {
  return promptTokens + outputTokens * outputWeight;
}

function tokensOfQuery(query: PermitQuery, outputWeight: number): number {
  return query.promptTokens + query.expectedOutputTokens * outputWeight;
}
