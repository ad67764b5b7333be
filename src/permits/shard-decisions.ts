/**
 * The scheduling decisions of a shard holder: which servers can serve a request, which one it is
 * assigned to, its estimated latency, and which team loses requests if the queue is full. Nothing
 * here changes the records of servers or the queue.
 */
import type { PermitQuery } from '../links/index.js';
import type { Decisions } from '../settings/index.js';
import { hashName } from '../gossip/index.js';
import { estimateLatency, type LatencyEstimate, type SubqueuePart } from './admission.js';
import { resolveWorkMs } from './capacity.js';
import {
  chooseServer,
  resolveHealthPenalty,
  IndexedCache,
  NoCache,
  resolveSharedDecodeMs,
  type CacheView,
  type ServerChoice,
} from './choice.js';
import { canServe, type GroupMembership } from './eligibility.js';
import type { FairShare } from './fair-share.js';
import type { LineFit } from './line-fit.js';
import {
  resolveEligibilityKey,
  type FairQueue,
  type Subqueue,
  type WaitingRequest,
} from './queue.js';
import { hasRoom, resolveLimit, resolveEjectionExempt, type RoomTerms } from './room.js';
import {
  countPrefillQueueTokens,
  countUncachedTokens,
  countUncachedAfterQueue,
  type ClassifiedRequest,
  type Server,
} from './server.js';
import { addBacklog, createBacklog, type Backlog, type TeamQueue } from './team-queue.js';
import type { WaitRecord } from './wait-record.js';

/** Input of the decisions. */
export interface ShardDecisionsParts {
  decisions: Decisions;
  membership: GroupMembership;
  servers: ReadonlyMap<string, Server>;
  queue: FairQueue;
  share: FairShare;
  waits: WaitRecord;
  handoverMs: LineFit;
}

/** The decisions of one shard. Times are milliseconds on the holder's clock. */
export interface ShardDecisions {
  /** Servers that can serve a request, whether or not they have room. */
  candidates(query: PermitQuery): Server[];
  /** Whether the prompt is long to prefill on each of the candidates. */
  isLong(query: PermitQuery, candidates: readonly Server[], now: number): boolean;
  /** Assigns a new request to a server and estimates its latency there. */
  assign(request: ClassifiedRequest, candidates: readonly Server[], now: number): Assignment;
  /** Whether the server that a request is assigned to still takes it. */
  isAssignmentValid(waiting: WaitingRequest, now: number): boolean;
  /** Chooses a server with room for a waiting request; `undefined` if there is none. */
  place(waiting: WaitingRequest, now: number): ServerChoice | undefined;
  /** Work stealing: a request that a server without queued work takes from another server's queue. */
  steal(now: number): StolenRequest | undefined;
  /** Estimates the remaining latency of a waiting request. */
  estimate(waiting: WaitingRequest, now: number): LatencyEstimate;
  /** The queue of a team with the most requests relative to the team's weight. */
  longestQueue(): TeamQueue | undefined;
}

/** The server that a request waits for. */
export interface Assignment {
  /** `undefined` if the request takes the first candidate with room. */
  server: Server | undefined;
  /** Prompt tokens that are expected to need prefill. */
  uncachedTokens: number;
  estimate: LatencyEstimate;
}

/** A request that goes to another server than the one it is assigned to. */
export interface StolenRequest {
  waiting: WaitingRequest;
  choice: ServerChoice;
}

/**
 * Weight of the cache entries that a prefill evicts, which have to be computed again later. It does
 * not apply on the preferred server of a prefix, so that prompts with equal prefixes stay together.
 */
const EVICTION_WEIGHT = 4;

/** A prompt that a server prefills in this time is short. */
const SHORT_PREFILL_MS = 50;

/**
 * Creates the decisions of a shard.
 *
 * @param parts the records of servers, the queue and the learned delays
 */
export function createShardDecisions(parts: ShardDecisionsParts): ShardDecisions {
  const { decisions, membership, queue, share, waits } = parts;
  const cache: CacheView = decisions.affinity ? new IndexedCache() : new NoCache();

  function listCandidates(query: PermitQuery): Server[] {
    const found: Server[] = [];
    for (const server of parts.servers.values()) {
      if (canServe(server, query, membership)) found.push(server);
    }
    return coversRoles(found) ? found : [];
  }

  /** Engines with roles can only serve together: one for prefill, another for decode. */
  function coversRoles(found: readonly Server[]): boolean {
    const roles = new Set<string>();
    for (const { role } of found) roles.add(role);
    if (roles.has('mixed')) return true;
    return decisions.handover && roles.has('prefill') && roles.has('decode');
  }

  function termsFor(candidates: readonly Server[]): RoomTerms {
    const { fairness, shortReserve, ejection } = decisions;
    return { fairness, shortReserve, ejection, ejectionExempt: resolveEjectionExempt(candidates) };
  }

  /**
   * Subqueues that compete for a server, or for all candidates if it is `undefined`. The work of
   * requests without an assigned server is divided among the candidates.
   */
  function selectSubqueues(
    query: PermitQuery,
    server: Server | undefined,
    count: number,
  ): SubqueuePart[] {
    const key = resolveEligibilityKey(query);
    const found: SubqueuePart[] = [];
    for (const subqueue of queue.subqueues()) {
      if (subqueue.eligibilityKey !== key) continue;
      if (server === undefined || subqueue.server === server.vm.id)
        found.push({ subqueue, part: 1 });
      else if (subqueue.server === undefined) found.push({ subqueue, part: 1 / count });
    }
    return found;
  }

  function estimateOn(
    request: ClassifiedRequest,
    server: Server | undefined,
    candidates: readonly Server[],
    now: number,
  ): LatencyEstimate {
    return estimateLatency({
      request,
      candidates: server === undefined ? candidates : [server],
      subqueues: selectSubqueues(request.query, server, candidates.length),
      share,
      isFair: decisions.fairness,
      correction: waits.correction(request.isLong),
      releaseIntervalMs: waits.releaseIntervalMs() * (server === undefined ? 1 : candidates.length),
      now,
      terms: termsFor(candidates),
    });
  }

  /** Servers that requests can be assigned to: mixed engines, if cache affinity is enabled. */
  function listAssignable(candidates: readonly Server[], now: number): Server[] {
    const found: Server[] = [];
    if (!decisions.affinity) return found;
    const terms = termsFor(candidates);
    for (const server of candidates) {
      if (server.role !== 'mixed' || server.vm.kind === 'plain-service') return [];
      if (resolveLimit(server, now, terms) > 0) found.push(server);
    }
    return found;
  }

  /** Whether the prompt needs more than a short prefill on any of the servers. */
  function needsLongPrefill(query: PermitQuery, servers: readonly Server[], now: number): boolean {
    for (const server of servers) {
      const shortTokens = server.rates.tokensPrefilledIn(SHORT_PREFILL_MS, now);
      if (countUncachedAfterQueue(server, query) > shortTokens) return true;
    }
    return false;
  }

  function assign(
    request: ClassifiedRequest,
    candidates: readonly Server[],
    now: number,
  ): Assignment {
    let best: Assignment | undefined;
    let leastMs = Number.POSITIVE_INFINITY;
    const listed = listAssignable(candidates, now);
    const assignable = needsLongPrefill(request.query, listed, now) ? listed : [];
    const preferred = findPreferred(request.query, assignable);
    for (const server of assignable) {
      const uncachedTokens = countUncachedAfterQueue(server, request.query);
      const latency = estimateOn(request, server, candidates, now);
      const evictedTokens = server === preferred ? 0 : uncachedTokens * EVICTION_WEIGHT;
      const costMs = resolveAssignedMs(
        server,
        request,
        uncachedTokens,
        evictedTokens,
        latency,
        now,
      );
      if (costMs >= leastMs) continue;
      best = { server, uncachedTokens, estimate: latency };
      leastMs = costMs;
    }
    if (best !== undefined) return best;
    const latency = estimateOn(request, undefined, candidates, now);
    return {
      server: undefined,
      uncachedTokens: countLeastUncached(request.query, candidates),
      estimate: latency,
    };
  }

  function findAssigned({ server: id, query }: WaitingRequest): Server | undefined {
    const server = parts.servers.get(id ?? '');
    return server !== undefined && canServe(server, query, membership) ? server : undefined;
  }

  function chooseAny(request: ClassifiedRequest, now: number): ServerChoice | undefined {
    const candidates = listCandidates(request.query);
    return chooseServer({
      request,
      candidates,
      cache,
      handover: decisions.handover,
      handoverMs: parts.handoverMs,
      now,
      terms: termsFor(candidates),
    });
  }

  /** Work of the requests that are assigned to each server, by server id. */
  function backlogs(): Map<string, Backlog> {
    const sums = new Map<string, Backlog>();
    for (const { server, teams } of queue.subqueues()) {
      if (server === undefined) continue;
      const sum = sums.get(server) ?? createBacklog();
      for (const team of teams.values()) addBacklog(sum, team.backlog());
      sums.set(server, sum);
    }
    return sums;
  }

  /** Selects the least urgent request of the longest team queue if it finishes sooner on the thief. */
  function findStealable(
    thief: Server,
    subqueue: Subqueue,
    queuedMs: number,
    now: number,
  ): WaitingRequest | undefined {
    const longest = findLongest(subqueue.teams.values());
    const waiting = longest && findLeastUrgent(longest);
    if (waiting === undefined || !canServe(thief, waiting.query, membership)) return undefined;
    const terms = termsFor(listCandidates(waiting.query));
    if (!hasRoom(thief, waiting, now, terms)) return undefined;
    const uncachedTokens = countUncachedTokens(thief, waiting.query);
    const evictionMs =
      estimatePrefillMs(thief, Math.max(0, uncachedTokens - waiting.uncachedTokens), now) *
      EVICTION_WEIGHT;
    const stolenMs =
      estimatePrefillMs(
        thief,
        countPrefillQueueTokens(thief, waiting.isLong) + uncachedTokens,
        now,
      ) + evictionMs;
    return stolenMs * resolveHealthPenalty(thief) < queuedMs ? waiting : undefined;
  }

  return {
    candidates: listCandidates,
    isLong(query, candidates, now) {
      for (const server of candidates) {
        const shortTokens = server.rates.tokensPrefilledIn(SHORT_PREFILL_MS, now);
        if (countUncachedTokens(server, query) <= shortTokens) return false;
      }
      return true;
    },
    assign,
    isAssignmentValid(waiting, now) {
      if (waiting.server === undefined) return true;
      const server = findAssigned(waiting);
      if (server?.role !== 'mixed') return false;
      return resolveLimit(server, now, termsFor(listCandidates(waiting.query))) > 0;
    },
    place(waiting, now) {
      if (waiting.server === undefined) return chooseAny(waiting, now);
      const server = findAssigned(waiting);
      if (server === undefined) return undefined;
      const terms = termsFor(listCandidates(waiting.query));
      return hasRoom(server, waiting, now, terms) ? { server, prefill: undefined } : undefined;
    },
    steal(now) {
      const sums = backlogs();
      if (sums.size === 0) return undefined;
      for (const thief of parts.servers.values()) {
        if (sums.has(thief.vm.id) || thief.role !== 'mixed') continue;
        for (const subqueue of queue.subqueues()) {
          const server = parts.servers.get(subqueue.server ?? '');
          const backlog = sums.get(subqueue.server ?? '');
          if (server === undefined || backlog === undefined) continue;
          const queuedMs = resolveWorkMs(
            [server],
            backlog,
            now,
            termsFor([...parts.servers.values()]),
          );
          const waiting = findStealable(thief, subqueue, queuedMs, now);
          if (waiting !== undefined)
            return { waiting, choice: { server: thief, prefill: undefined } };
        }
      }
      return undefined;
    },
    estimate(waiting, now) {
      const candidates = listCandidates(waiting.query);
      return estimateOn(waiting, findAssigned(waiting), candidates, now);
    },
    longestQueue() {
      const longest: TeamQueue[] = [];
      for (const { teams } of queue.subqueues()) {
        const found = findLongest(teams.values());
        if (found !== undefined) longest.push(found);
      }
      return findLongest(longest);
    },
  };
}

function findLongest(teams: Iterable<TeamQueue>): TeamQueue | undefined {
  let longest: TeamQueue | undefined;
  for (const team of teams) {
    if (longest === undefined || resolveRelativeLength(team) > resolveRelativeLength(longest))
      longest = team;
  }
  return longest;
}

function countLeastUncached(query: PermitQuery, candidates: readonly Server[]): number {
  let least = query.promptTokens;
  for (const server of candidates) least = Math.min(least, countUncachedTokens(server, query));
  return least;
}

function estimatePrefillMs(server: Server, tokens: number, now: number): number {
  return server.rates.firstTokenMs(tokens, now);
}

/** Estimated time of a request on a server, with the cost of evictions and the slowdown of others. */
function resolveAssignedMs(
  server: Server,
  request: ClassifiedRequest,
  uncachedTokens: number,
  evictedTokens: number,
  { queueingMs }: LatencyEstimate,
  now: number,
): number {
  const firstTokenMs = estimatePrefillMs(
    server,
    countPrefillQueueTokens(server, request.isLong) + uncachedTokens,
    now,
  );
  const evictionMs =
    estimatePrefillMs(server, evictedTokens, now) - estimatePrefillMs(server, 0, now);
  const decodeMs = resolveSharedDecodeMs(server, request, now);
  return (queueingMs + firstTokenMs + evictionMs + decodeMs) * resolveHealthPenalty(server);
}

/** Share of a prompt that is hashed, as the ends of prompts with a common prefix differ. */
const HASHED_SHARE = 0.75;

/** The preferred server for prompts with the same prefix, by rendezvous hashing. */
function findPreferred(query: PermitQuery, servers: readonly Server[]): Server | undefined {
  const deepest = query.prefixes.length * HASHED_SHARE;
  // A power of two, so that prompts of similar length hash the same prefix.
  const depth = 2 ** Math.floor(Math.log2(Math.max(1, deepest)));
  const prefix = query.prefixes[depth - 1];
  if (prefix === undefined) return undefined;
  let preferred: Server | undefined;
  let highest = -1;
  for (const server of servers) {
    const score = hashName(`${prefix}@${server.vm.id}`);
    if (score <= highest) continue;
    preferred = server;
    highest = score;
  }
  return preferred;
}

function resolveRelativeLength({ heap, weight }: TeamQueue): number {
  return heap.size() / weight;
}

/**
 * Returns the least urgent request of a queue.
 *
 * @param queue the queue of a team
 */
export function findLeastUrgent(queue: TeamQueue): WaitingRequest | undefined {
  let last: WaitingRequest | undefined;
  for (const waiting of queue.heap.items()) {
    if (last === undefined || compareLeastUrgentFirst(waiting, last) < 0) last = waiting;
  }
  return last;
}

/**
 * Returns the requests of a queue, the least urgent first.
 *
 * @param queue the queue of a team
 */
export function sortLeastUrgentFirst(queue: TeamQueue): WaitingRequest[] {
  const waiting = [...queue.heap.items()];
  waiting.sort(compareLeastUrgentFirst);
  return waiting;
}

function compareLeastUrgentFirst(a: WaitingRequest, b: WaitingRequest): number {
  return b.query.priority - a.query.priority || b.firstTokenDeadline - a.firstTokenDeadline;
}
