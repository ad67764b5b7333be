/**
 * The home node's state of the limits of its teams: token buckets, and the places that each node
 * holds. This is soft state: a new home node starts with full buckets and learns the places from
 * renewals.
 */
import type { Limits } from '../configuration/objects.js';
import type { LimitAllowance, LimitDraw } from '../links/index.js';
import type { Clock } from '../task/index.js';
import { PLACES_TTL_MS, REQUEST_BURST_MS, TOKEN_BURST_MS } from './terms.js';
import { createTokenBucket, type TokenBucket } from './token-bucket.js';

/** Dependencies of a home. */
export interface LimitHomeParts {
  clock: Clock;
  /** The current limits of a team; `undefined` for an unknown team. */
  limitsOf(team: string): Limits | undefined;
}

/** Hands out the limits of teams whose home node is this node. */
export interface LimitHome {
  /** Returns an allowance; an empty one has a Retry-After. */
  draw(node: string, draw: LimitDraw): LimitAllowance;
}

interface HeldPlaces {
  places: number;
  renewedAt: number;
}

interface TeamState {
  /** The limits that the buckets were created for. */
  limits: Limits;
  requests: TokenBucket | undefined;
  tokens: TokenBucket | undefined;
  places: Map<string, HeldPlaces>;
  usedAt: number;
}

const MS_PER_SECOND = 1_000;
const SECONDS_PER_MINUTE = 60;
/** Teams without a draw for this time are evicted; their buckets are full by then. */
const IDLE_EVICTION_MS = 60_000;
const MAX_TEAMS = 1_000;

/**
 * Creates a home without teams.
 *
 * @param parts the configuration and the clock
 */
export function createLimitHome(parts: LimitHomeParts): LimitHome {
  const { clock } = parts;
  const teams = new Map<string, TeamState>();

  function open(team: string, limits: Limits, now: number): TeamState {
    const known = teams.get(team);
    if (known !== undefined && isSame(known.limits, limits)) return known;
    const { requestsPerSecond, tokensPerMinute } = limits;
    const opened: TeamState = {
      limits,
      requests: createBucket(requestsPerSecond, REQUEST_BURST_MS, now),
      tokens: createBucket(perSecond(tokensPerMinute), TOKEN_BURST_MS, now),
      places: known?.places ?? new Map<string, HeldPlaces>(),
      usedAt: now,
    };
    evictIdle(now);
    teams.set(team, opened);
    return opened;
  }

  function evictIdle(now: number): void {
    if (teams.size < MAX_TEAMS) return;
    for (const [team, { usedAt }] of teams) {
      if (now - usedAt > IDLE_EVICTION_MS) teams.delete(team);
    }
  }

  return {
    draw(node, draw) {
      const now = clock.now();
      const limits = parts.limitsOf(draw.team) ?? {};
      const state = open(draw.team, limits, now);
      state.usedAt = now;
      const places = grantPlaces(state, node, draw, now);
      const rate = grantRates(state, draw, now);
      return { kind: 'limits.allowance', places, ...rate };
    },
  };
}

function createBucket(
  rate: number | undefined,
  burstMs: number,
  now: number,
): TokenBucket | undefined {
  if (rate === undefined) return undefined;
  const size = Math.max(1, (rate * burstMs) / MS_PER_SECOND);
  return createTokenBucket({ perSecond: rate, size }, now);
}

function perSecond(perMinute: number | undefined): number | undefined {
  return perMinute === undefined ? undefined : perMinute / SECONDS_PER_MINUTE;
}

function isSame(left: Limits, right: Limits): boolean {
  return (
    left.requestsPerSecond === right.requestsPerSecond &&
    left.tokensPerMinute === right.tokensPerMinute &&
    left.concurrency === right.concurrency
  );
}

/** A node always keeps the places in use, even if the sum over all nodes exceeds the limit. */
function grantPlaces(state: TeamState, node: string, draw: LimitDraw, now: number): number {
  const { concurrency } = state.limits;
  if (concurrency === undefined) return draw.places;
  let others = 0;
  for (const [holder, { places, renewedAt }] of state.places) {
    if (now - renewedAt > PLACES_TTL_MS) state.places.delete(holder);
    else if (holder !== node) others += places;
  }
  const places = Math.max(draw.inUse, Math.min(draw.places, concurrency - others));
  if (places > 0) state.places.set(node, { places, renewedAt: now });
  else state.places.delete(node);
  return places;
}

type Rates = Pick<LimitAllowance, 'requests' | 'tokens' | 'retryAfterMs'>;

/** Grants requests and tokens together or not at all, since a request needs both. */
function grantRates(state: TeamState, draw: LimitDraw, now: number): Rates {
  const { requests, tokens } = state;
  const waitMs = Math.max(
    requests?.waitMs(draw.leastRequests, now) ?? 0,
    tokens?.waitMs(draw.leastTokens, now) ?? 0,
  );
  if (waitMs > 0) return { requests: 0, tokens: 0, retryAfterMs: waitMs };
  return {
    requests: requests?.take(draw.leastRequests, draw.requests, now) ?? draw.requests,
    tokens: tokens?.take(draw.leastTokens, draw.tokens, now) ?? draw.tokens,
    retryAfterMs: 0,
  };
}
