/**
 * The decisions of a shard's holder, over its tallies and its queue: who can serve a request, where
 * it goes, when it may be expected to start, and whose turn is given up when there is no room left
 * to wait. Nothing here changes a tally or the queue.
 */
import type { PermitQuery } from '../links/index.js';
import type { Decisions } from '../settings/index.js';
import { resolveForecast, resolveReadMs, type Forecast } from './admission.js';
import { chooseServer, IndexedCache, NoCache, type CacheView, type Chosen } from './choice.js';
import { canServe, type Membership } from './eligibility.js';
import type { FairShare } from './fair-share.js';
import type { LineFit } from './line-fit.js';
import { resolveTarget, type FairQueue, type Lane, type Waiting } from './queue.js';
import { resolvePardoned, type RoomTerms } from './room.js';
import { tokensUncached, type Guest, type Server } from './server.js';
import type { TeamQueue } from './team-queue.js';
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
  choose(guest: Guest, now: number): Chosen | undefined;
  /** When a request may be expected to start, with all that waits before it. */
  forecast(guest: Guest, candidates: readonly Server[], now: number): Forecast;
  /** Least time from a permit to the first token. */
  readMs(guest: Guest, candidates: readonly Server[], now: number): number;
  /** The team with the longest queue for its weight, in requests. */
  longestQueue(): TeamQueue | undefined;
}

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
    const { shortReserve, ejection } = decisions;
    return { shortReserve, ejection, pardoned: resolvePardoned(candidates) };
  }

  function lanesFor(query: PermitQuery): Lane[] {
    const target = resolveTarget(query);
    const found: Lane[] = [];
    for (const lane of queue.lanes()) {
      if (lane.target === target) found.push(lane);
    }
    return found;
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
    choose(guest, now) {
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
    },
    forecast(guest, candidates, now) {
      return resolveForecast({
        guest,
        candidates,
        lanes: lanesFor(guest.query),
        share,
        isFair: decisions.fairness,
        correction: waits.correction(guest.isLong),
        turnMs: waits.turnMs(),
        now,
        terms: termsFor(candidates),
      });
    },
    readMs: resolveReadMs,
    longestQueue() {
      let longest: TeamQueue | undefined;
      for (const { teams } of queue.lanes()) {
        for (const team of teams.values()) {
          if (longest === undefined || lengthOf(team) > lengthOf(longest)) longest = team;
        }
      }
      return longest;
    },
  };
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
  return resolveLastFirst(queue)[0];
}

/**
 * The requests of a queue, the least urgent first.
 *
 * @param queue the queue of a team
 */
export function resolveLastFirst(queue: TeamQueue): Waiting[] {
  const waiting = [...queue.heap.items()];
  waiting.sort(
    (left, right) =>
      right.query.priority - left.query.priority || right.firstTokenBy - left.firstTokenBy,
  );
  return waiting;
}
