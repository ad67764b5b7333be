/**
 * The decisions of a shard's holder, over its tallies and its queue: who can serve a request, where
 * it goes, when it may be expected to start, and whose turn is given up when there is no room left
 * to wait. Nothing here changes a tally or the queue.
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

/** What the decisions look at. */
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
  /** Servers that can serve a request, with room or without. */
  candidates(query: PermitQuery): Server[];
  /** Whether a request's prompt counts as long. */
  isLong(query: PermitQuery, candidates: readonly Server[], now: number): boolean;
  /** The server that a request waits for, and when it may be expected to start there. */
  assign(request: ClassifiedRequest, candidates: readonly Server[], now: number): Assignment;
  /** Whether the server that a request waits for still takes it. */
  isAssignmentValid(waiting: WaitingRequest, now: number): boolean;
  /** Where a request goes now whose turn it is; `undefined` while there is no room. */
  place(waiting: WaitingRequest, now: number): ServerChoice | undefined;
  /** A request that a server with nothing to do takes from another's queue. */
  steal(now: number): StolenRequest | undefined;
  /** When a request that waits may be expected to start. */
  estimate(waiting: WaitingRequest, now: number): LatencyEstimate;
  /** The team with the longest queue for its weight, in requests. */
  longestQueue(): TeamQueue | undefined;
}

/** Where a request waits. */
export interface Assignment {
  /** Absent when it takes the first server that has room. */
  server: Server | undefined;
  /** Prompt tokens that will probably have to be read. */
  uncachedTokens: number;
  estimate: LatencyEstimate;
}

/** A request that goes to another server than it waits for. */
export interface StolenRequest {
  waiting: WaitingRequest;
  choice: ServerChoice;
}

/**
 * What is read anew takes the place of something in the cache, which will have to be read again:
 * each token to read counts so many times more. Not on the server where the prompt is at home, so
 * that prompts with the same beginning stay together however often they were forgotten.
 */
const REPLACED_WEIGHT = 4;

/** A prompt that a server reads in this time is short. */
const SHORT_READ_MS = 50;

/**
 * Creates the decisions of a shard.
 *
 * @param parts the tallies, the queue and what was learned
 */
export function createShardDecisions(parts: ShardDecisionsParts): ShardDecisions {
  const { decisions, membership, queue, share, waits } = parts;
  const cache: CacheView = decisions.affinity ? new IndexedCache() : new NoCache();

  function listCandidates(query: PermitQuery): Server[] {
    const found: Server[] = [];
    for (const server of parts.servers.values()) {
      if (canServe(server, query, membership)) found.push(server);
    }
    return canBeServed(found) ? found : [];
  }

  /** Engines with roles serve only together: one to read, another to generate. */
  function canBeServed(found: readonly Server[]): boolean {
    const roles = new Set<string>();
    for (const { role } of found) roles.add(role);
    if (roles.has('mixed')) return true;
    return decisions.handover && roles.has('prefill') && roles.has('decode');
  }

  function termsFor(candidates: readonly Server[]): RoomTerms {
    const { fairness, shortReserve, ejection } = decisions;
    return { fairness, shortReserve, ejection, ejectionExempt: resolveEjectionExempt(candidates) };
  }

  /** Lanes for all of some servers; of those that wait for none in particular, each has its part. */
  function lanesFor(query: PermitQuery, server: Server | undefined, count: number): SubqueuePart[] {
    const target = resolveEligibilityKey(query);
    const found: SubqueuePart[] = [];
    for (const subqueue of queue.subqueues()) {
      if (subqueue.eligibilityKey !== target) continue;
      if (server === undefined || subqueue.server === server.vm.id)
        found.push({ subqueue, part: 1 });
      else if (subqueue.server === undefined) found.push({ subqueue, part: 1 / count });
    }
    return found;
  }

  function forecast(
    request: ClassifiedRequest,
    server: Server | undefined,
    candidates: readonly Server[],
    now: number,
  ): LatencyEstimate {
    return estimateLatency({
      request: request,
      candidates: server === undefined ? candidates : [server],
      subqueues: lanesFor(request.query, server, candidates.length),
      share,
      isFair: decisions.fairness,
      correction: waits.correction(request.isLong),
      releaseIntervalMs: waits.releaseIntervalMs() * (server === undefined ? 1 : candidates.length),
      now,
      terms: termsFor(candidates),
    });
  }

  /** Requests wait for one engine where its cache matters and it does all of the work. */
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

  /** Whether it makes a difference which server reads the prompt. */
  function isParticular(query: PermitQuery, servers: readonly Server[], now: number): boolean {
    for (const server of servers) {
      const shortTokens = server.rates.tokensPrefilledIn(SHORT_READ_MS, now);
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
    const assignable = isParticular(request.query, listed, now) ? listed : [];
    const home = findHome(request.query, assignable);
    for (const server of assignable) {
      const uncachedTokens = countUncachedAfterQueue(server, request.query);
      const foretold = forecast(request, server, candidates, now);
      const replaced = server === home ? 0 : uncachedTokens * REPLACED_WEIGHT;
      const costMs = assignedMs(server, request, uncachedTokens, replaced, foretold, now);
      if (costMs >= leastMs) continue;
      best = { server, uncachedTokens, estimate: foretold };
      leastMs = costMs;
    }
    if (best !== undefined) return best;
    const foretold = forecast(request, undefined, candidates, now);
    return {
      server: undefined,
      uncachedTokens: leastUncached(request.query, candidates),
      estimate: foretold,
    };
  }

  function findServing({ server: id, query }: WaitingRequest): Server | undefined {
    const server = parts.servers.get(id ?? '');
    return server !== undefined && canServe(server, query, membership) ? server : undefined;
  }

  function chooseAny(request: ClassifiedRequest, now: number): ServerChoice | undefined {
    const candidates = listCandidates(request.query);
    return chooseServer({
      request: request,
      candidates,
      cache,
      handover: decisions.handover,
      handoverMs: parts.handoverMs,
      now,
      terms: termsFor(candidates),
    });
  }

  /** What waits for each server. */
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

  /** The last in turn of the team that has most waiting in a subqueue gains most by going elsewhere. */
  function findTakeOver(
    taker: Server,
    subqueue: Subqueue,
    ownMs: number,
    now: number,
  ): WaitingRequest | undefined {
    const longest = findLongest(subqueue.teams.values());
    const waiting = longest && findLeastUrgent(longest);
    if (waiting === undefined || !canServe(taker, waiting.query, membership)) return undefined;
    const terms = termsFor(listCandidates(waiting.query));
    if (!hasRoom(taker, waiting, now, terms)) return undefined;
    const uncachedTokens = countUncachedTokens(taker, waiting.query);
    const replacedMs =
      readMs(taker, Math.max(0, uncachedTokens - waiting.uncachedTokens), now) * REPLACED_WEIGHT;
    const takenMs =
      readMs(taker, countPrefillQueueTokens(taker, waiting.isLong) + uncachedTokens, now) +
      replacedMs;
    return takenMs * resolveHealthPenalty(taker) < ownMs ? waiting : undefined;
  }

  return {
    candidates: listCandidates,
    isLong(query, candidates, now) {
      for (const server of candidates) {
        const shortTokens = server.rates.tokensPrefilledIn(SHORT_READ_MS, now);
        if (countUncachedTokens(server, query) <= shortTokens) return false;
      }
      return true;
    },
    assign,
    isAssignmentValid(waiting, now) {
      if (waiting.server === undefined) return true;
      const server = findServing(waiting);
      if (server?.role !== 'mixed') return false;
      return resolveLimit(server, now, termsFor(listCandidates(waiting.query))) > 0;
    },
    place(waiting, now) {
      if (waiting.server === undefined) return chooseAny(waiting, now);
      const server = findServing(waiting);
      if (server === undefined) return undefined;
      const terms = termsFor(listCandidates(waiting.query));
      return hasRoom(server, waiting, now, terms) ? { server, prefill: undefined } : undefined;
    },
    steal(now) {
      const sums = backlogs();
      if (sums.size === 0) return undefined;
      for (const taker of parts.servers.values()) {
        if (sums.has(taker.vm.id) || taker.role !== 'mixed') continue;
        for (const subqueue of queue.subqueues()) {
          const server = parts.servers.get(subqueue.server ?? '');
          const backlog = sums.get(subqueue.server ?? '');
          if (server === undefined || backlog === undefined) continue;
          const ownMs = resolveWorkMs(
            [server],
            backlog,
            now,
            termsFor([...parts.servers.values()]),
          );
          const waiting = findTakeOver(taker, subqueue, ownMs, now);
          if (waiting !== undefined)
            return { waiting, choice: { server: taker, prefill: undefined } };
        }
      }
      return undefined;
    },
    estimate(waiting, now) {
      const candidates = listCandidates(waiting.query);
      return forecast(waiting, findServing(waiting), candidates, now);
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
    if (longest === undefined || lengthOf(team) > lengthOf(longest)) longest = team;
  }
  return longest;
}

function leastUncached(query: PermitQuery, candidates: readonly Server[]): number {
  let least = query.promptTokens;
  for (const server of candidates) least = Math.min(least, countUncachedTokens(server, query));
  return least;
}

function readMs(server: Server, tokens: number, now: number): number {
  return server.rates.firstTokenMs(tokens, now);
}

/** Time of a request that waits for a server, with what it adds to the work there. */
function assignedMs(
  server: Server,
  request: ClassifiedRequest,
  uncachedTokens: number,
  replaced: number,
  { queueingMs }: LatencyEstimate,
  now: number,
): number {
  const ownMs = readMs(
    server,
    countPrefillQueueTokens(server, request.isLong) + uncachedTokens,
    now,
  );
  const replacedMs = readMs(server, replaced, now) - readMs(server, 0, now);
  const decodeMs = resolveSharedDecodeMs(server, request, now);
  return (queueingMs + ownMs + replacedMs + decodeMs) * resolveHealthPenalty(server);
}

/** Share of a prompt that is looked at for its home: questions after a common text differ. */
const HOME_SHARE = 0.75;

/** The server where prompts that begin alike belong, by rendezvous hashing. */
function findHome(query: PermitQuery, servers: readonly Server[]): Server | undefined {
  const deepest = query.prefixes.length * HOME_SHARE;
  // A power of two, so that prompts of about the same length look at the same place.
  const depth = 2 ** Math.floor(Math.log2(Math.max(1, deepest)));
  const prefix = query.prefixes[depth - 1];
  if (prefix === undefined) return undefined;
  let home: Server | undefined;
  let highest = -1;
  for (const server of servers) {
    const score = hashName(`${prefix}@${server.vm.id}`);
    if (score <= highest) continue;
    home = server;
    highest = score;
  }
  return home;
}

function lengthOf({ heap, weight }: TeamQueue): number {
  return heap.size() / weight;
}

/**
 * The request of a queue that is given up first: the least urgent one.
 *
 * @param queue the queue of a team
 */
export function findLeastUrgent(queue: TeamQueue): WaitingRequest | undefined {
  let last: WaitingRequest | undefined;
  for (const waiting of queue.heap.items()) {
    if (last === undefined || compareLastFirst(waiting, last) < 0) last = waiting;
  }
  return last;
}

/**
 * The requests of a queue, the least urgent first.
 *
 * @param queue the queue of a team
 */
export function sortLeastUrgentFirst(queue: TeamQueue): WaitingRequest[] {
  const waiting = [...queue.heap.items()];
  waiting.sort(compareLastFirst);
  return waiting;
}

function compareLastFirst(left: WaitingRequest, right: WaitingRequest): number {
  return (
    right.query.priority - left.query.priority || right.firstTokenDeadline - left.firstTokenDeadline
  );
}
