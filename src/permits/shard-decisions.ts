/**
 * The decisions of a shard's holder, over its tallies and its queue: who can serve a request, where
 * it goes, when it may be expected to start, and whose turn is given up when there is no room left
 * to wait. Nothing here changes a tally or the queue.
 */
import type { PermitQuery } from '../links/index.js';
import type { Decisions } from '../settings/index.js';
import { hashName } from '../gossip/index.js';
import { resolveForecast, type Forecast, type LanePart } from './admission.js';
import { resolveWorkMs } from './capacity.js';
import {
  chooseServer,
  doubtOf,
  IndexedCache,
  NoCache,
  resolveSharedWriteMs,
  type CacheView,
  type Chosen,
} from './choice.js';
import { canServe, type Membership } from './eligibility.js';
import type { FairShare } from './fair-share.js';
import type { LineFit } from './line-fit.js';
import { resolveTarget, type FairQueue, type Lane, type Waiting } from './queue.js';
import { hasRoom, resolveLimit, resolvePardoned, type RoomTerms } from './room.js';
import { tokensAhead, tokensUncached, tokensUnplanned, type Guest, type Server } from './server.js';
import { addBacklog, createBacklog, type Backlog, type TeamQueue } from './team-queue.js';
import type { WaitRecord } from './wait-record.js';

/** What the decisions look at. */
export interface ShardDecisionsParts {
  decisions: Decisions;
  membership: Membership;
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
  assign(guest: Guest, candidates: readonly Server[], now: number): Assignment;
  /** Whether the server that a request waits for still takes it. */
  isServed(waiting: Waiting, now: number): boolean;
  /** Where a request goes now whose turn it is; `undefined` while there is no room. */
  place(waiting: Waiting, now: number): Chosen | undefined;
  /** A request that a server with nothing to do takes from another's queue. */
  takeOver(now: number): TakeOver | undefined;
  /** When a request that waits may be expected to start. */
  forecast(waiting: Waiting, now: number): Forecast;
  /** The team with the longest queue for its weight, in requests. */
  longestQueue(): TeamQueue | undefined;
}

/** Where a request waits. */
export interface Assignment {
  /** Absent when it takes the first server that has room. */
  server: Server | undefined;
  /** Prompt tokens that will probably have to be read. */
  toRead: number;
  forecast: Forecast;
}

/** A request that goes to another server than it waits for. */
export interface TakeOver {
  waiting: Waiting;
  chosen: Chosen;
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
    return { fairness, shortReserve, ejection, pardoned: resolvePardoned(candidates) };
  }

  /** Lanes for all of some servers; of those that wait for none in particular, each has its part. */
  function lanesFor(query: PermitQuery, server: Server | undefined, count: number): LanePart[] {
    const target = resolveTarget(query);
    const found: LanePart[] = [];
    for (const lane of queue.lanes()) {
      if (lane.target !== target) continue;
      if (server === undefined || lane.server === server.vm.id) found.push({ lane, part: 1 });
      else if (lane.server === undefined) found.push({ lane, part: 1 / count });
    }
    return found;
  }

  function forecast(
    guest: Guest,
    server: Server | undefined,
    candidates: readonly Server[],
    now: number,
  ): Forecast {
    return resolveForecast({
      guest,
      candidates: server === undefined ? candidates : [server],
      lanes: lanesFor(guest.query, server, candidates.length),
      share,
      isFair: decisions.fairness,
      correction: waits.correction(guest.isLong),
      turnMs: waits.turnMs() * (server === undefined ? 1 : candidates.length),
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
      const shortTokens = server.rates.tokensReadIn(SHORT_READ_MS, now);
      if (tokensUnplanned(server, query) > shortTokens) return true;
    }
    return false;
  }

  function assign(guest: Guest, candidates: readonly Server[], now: number): Assignment {
    let best: Assignment | undefined;
    let leastMs = Number.POSITIVE_INFINITY;
    const listed = listAssignable(candidates, now);
    const assignable = isParticular(guest.query, listed, now) ? listed : [];
    const home = findHome(guest.query, assignable);
    for (const server of assignable) {
      const toRead = tokensUnplanned(server, guest.query);
      const foretold = forecast(guest, server, candidates, now);
      const replaced = server === home ? 0 : toRead * REPLACED_WEIGHT;
      const costMs = assignedMs(server, guest, toRead, replaced, foretold, now);
      if (costMs >= leastMs) continue;
      best = { server, toRead, forecast: foretold };
      leastMs = costMs;
    }
    if (best !== undefined) return best;
    const foretold = forecast(guest, undefined, candidates, now);
    return {
      server: undefined,
      toRead: leastUncached(guest.query, candidates),
      forecast: foretold,
    };
  }

  function findServing({ server: id, query }: Waiting): Server | undefined {
    const server = parts.servers.get(id ?? '');
    return server !== undefined && canServe(server, query, membership) ? server : undefined;
  }

  function chooseAny(guest: Guest, now: number): Chosen | undefined {
    const candidates = listCandidates(guest.query);
    return chooseServer({
      guest,
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
    for (const { server, teams } of queue.lanes()) {
      if (server === undefined) continue;
      const sum = sums.get(server) ?? createBacklog();
      for (const team of teams.values()) addBacklog(sum, team.backlog());
      sums.set(server, sum);
    }
    return sums;
  }

  /** The last in turn of the team that has most waiting in a lane gains most by going elsewhere. */
  function findTakeOver(
    taker: Server,
    lane: Lane,
    ownMs: number,
    now: number,
  ): Waiting | undefined {
    const longest = findLongest(lane.teams.values());
    const waiting = longest && findLeastUrgent(longest);
    if (waiting === undefined || !canServe(taker, waiting.query, membership)) return undefined;
    const terms = termsFor(listCandidates(waiting.query));
    if (!hasRoom(taker, waiting, now, terms)) return undefined;
    const toRead = tokensUncached(taker, waiting.query);
    const replacedMs = readMs(taker, Math.max(0, toRead - waiting.toRead), now) * REPLACED_WEIGHT;
    const takenMs = readMs(taker, tokensAhead(taker, waiting.isLong) + toRead, now) + replacedMs;
    return takenMs * doubtOf(taker) < ownMs ? waiting : undefined;
  }

  return {
    candidates: listCandidates,
    isLong(query, candidates, now) {
      for (const server of candidates) {
        const shortTokens = server.rates.tokensReadIn(SHORT_READ_MS, now);
        if (tokensUncached(server, query) <= shortTokens) return false;
      }
      return true;
    },
    assign,
    isServed(waiting, now) {
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
    takeOver(now) {
      const sums = backlogs();
      if (sums.size === 0) return undefined;
      for (const taker of parts.servers.values()) {
        if (sums.has(taker.vm.id) || taker.role !== 'mixed') continue;
        for (const lane of queue.lanes()) {
          const server = parts.servers.get(lane.server ?? '');
          const backlog = sums.get(lane.server ?? '');
          if (server === undefined || backlog === undefined) continue;
          const ownMs = resolveWorkMs(
            [server],
            backlog,
            now,
            termsFor([...parts.servers.values()]),
          );
          const waiting = findTakeOver(taker, lane, ownMs, now);
          if (waiting !== undefined)
            return { waiting, chosen: { server: taker, prefill: undefined } };
        }
      }
      return undefined;
    },
    forecast(waiting, now) {
      const candidates = listCandidates(waiting.query);
      return forecast(waiting, findServing(waiting), candidates, now);
    },
    longestQueue() {
      const longest: TeamQueue[] = [];
      for (const { teams } of queue.lanes()) {
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
  for (const server of candidates) least = Math.min(least, tokensUncached(server, query));
  return least;
}

function readMs(server: Server, tokens: number, now: number): number {
  return server.rates.firstTokenMs(tokens, now);
}

/** Time of a request that waits for a server, with what it adds to the work there. */
function assignedMs(
  server: Server,
  guest: Guest,
  toRead: number,
  replaced: number,
  { waitMs }: Forecast,
  now: number,
): number {
  const ownMs = readMs(server, tokensAhead(server, guest.isLong) + toRead, now);
  const replacedMs = readMs(server, replaced, now) - readMs(server, 0, now);
  const writeMs = resolveSharedWriteMs(server, guest, now);
  return (waitMs + ownMs + replacedMs + writeMs) * doubtOf(server);
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
export function findLeastUrgent(queue: TeamQueue): Waiting | undefined {
  let last: Waiting | undefined;
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
export function resolveLastFirst(queue: TeamQueue): Waiting[] {
  const waiting = [...queue.heap.items()];
  waiting.sort(compareLastFirst);
  return waiting;
}

function compareLastFirst(left: Waiting, right: Waiting): number {
  return right.query.priority - left.query.priority || right.firstTokenBy - left.firstTokenBy;
}
