/**
 * Estimates the latency of a request from the work queued ahead of it, the learned rates of the
 * servers and the fair share of its team. Of another team's queue, only the part that fair queueing
 * serves first counts, so a long queue of one team does not cause refusals of other teams.
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

/** Estimated times of a request, in milliseconds. */
export interface LatencyEstimate {
  /** Queueing delay until the permit is granted. */
  queueingMs: number;
  /** From the permit to the first token. */
  prefillMs: number;
  /** From the first token to the end. */
  decodeMs: number;
}

/** A subqueue and the fraction of its work that falls to the servers of an estimate. */
export interface SubqueuePart {
  subqueue: Subqueue;
  /** From 0 to 1. */
  part: number;
}

/** Input of an estimate. */
export interface LatencyEstimateInput {
  request: ClassifiedRequest;
  /** The servers that can serve the request, whether or not they have room. */
  candidates: readonly Server[];
  /** The subqueues that compete for the same servers. */
  subqueues: readonly SubqueuePart[];
  share: FairShare;
  isFair: boolean;
  /** Ratio of measured to estimated queueing delays. */
  correction: number;
  /** Mean time between two releases of permits; 0 if unknown. */
  releaseIntervalMs: number;
  now: number;
  terms: RoomTerms;
}

/**
 * Estimates the latency of a request.
 *
 * @param input the request, the servers and the queued work
 */
export function estimateLatency(input: LatencyEstimateInput): LatencyEstimate {
  const { request, candidates, now } = input;
  const prefillMs = resolvePrefillMs(request, candidates, now);
  const decodeMs = resolveDecodeMs(input);
  // Requests in other subqueues only wait because they found no room, so if there is room for this
  // request, only its own subqueue can delay it.
  const before = resolveAhead(input, isOwnSubqueue);
  if (before.requests === 0 && hasAnyRoom(input)) return { queueingMs: 0, prefillMs, decodeMs };
  const ahead = resolveAhead(input, isCompeting);
  const work = resolveWorkMs(candidates, ahead, now, input.terms);
  return {
    queueingMs: work * input.correction + input.releaseIntervalMs,
    prefillMs,
    decodeMs,
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

function resolveDecodeMs({ request, candidates, now, terms }: LatencyEstimateInput): number {
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

/** Whether a request would be added to a subqueue. */
function isOwnSubqueue(request: ClassifiedRequest, subqueue: Subqueue): boolean {
  return subqueue.isLong === request.isLong && subqueue.isBeyondShare === request.isBeyondShare;
}

/** Short prompts overtake long ones, and teams within their share overtake those beyond it. */
function isCompeting(request: ClassifiedRequest, subqueue: Subqueue): boolean {
  if (subqueue.isBeyondShare && !request.isBeyondShare) return false;
  return request.isLong || !subqueue.isLong;
}

/** Work that is served before the request, in the subqueues that `counts` selects. */
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

/** Fraction of another team's queue that is served before this team's service reaches `finish`. */
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

/** Work of a backlog in prefill tokens. */
function tokensOf({ promptTokens, outputTokens }: Backlog, outputWeight: number): number {
  return promptTokens + outputTokens * outputWeight;
}

function tokensOfQuery(query: PermitQuery, outputWeight: number): number {
  return query.promptTokens + query.expectedOutputTokens * outputWeight;
}
