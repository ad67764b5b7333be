/**
 * Admits requests of teams within their limits. A node spends allowances that it draws from the
 * home node of each team, in batches sized by its recent use.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { Team } from '../configuration/objects.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { LimitAllowance, LimitDraw } from '../links/index.js';
import type { Clock, Timer } from '../task/index.js';
import { createLimitHome, type LimitHome } from './home.js';
import { ALLOWANCE_TTL_MS, BATCH_MS, RENEWAL_INTERVAL_MS } from './terms.js';

/** The charge of an admitted request. */
export interface LimitTicket {
  /** @param tokens actual prompt and output tokens of the request */
  end(tokens: number): void;
}

/** Dependencies of a limiter. */
export interface TeamLimiterParts {
  node: string;
  clock: Clock;
  /** Draws from the home node of a team, which may be this node; `undefined` if it is unreachable. */
  draw(draw: LimitDraw): Promise<LimitAllowance | undefined>;
  /** Number of live nodes, this one included. */
  aliveCount(): number;
}

/** Enforces the limits of teams on one node. */
export interface TeamLimiter {
  /** Admits a request of a team, or refuses it with a Retry-After. */
  admit(team: Team, expectedTokens: number): Promise<Result<LimitTicket, Failure>>;
  stop(): void;
}

interface TeamAllowance {
  team: Team;
  requests: number;
  tokens: number;
  /** Concurrent requests that the home node allows on this node. */
  places: number;
  inUse: number;
  /** When the unspent allowance expires. */
  expiresAt: number;
  /** Spent since the last draw. */
  spentRequests: number;
  spentTokens: number;
  drawnAt: number;
  /** Mean duration of requests, in milliseconds. */
  meanDurationMs: number;
  drawing: Promise<LimitAllowance> | undefined;
  /** Until then, requests for `blockedTokens` or more are refused without a draw. */
  blockedUntil: number;
  blockedTokens: number;
  /** This node's share of the limits, used while the home node is unreachable. */
  share: LimitHome | undefined;
}

/** Maximum number of draws that one request waits for. */
const MAX_DRAWS = 3;
/** Weight of the newest request in the mean duration. */
const NEWEST_WEIGHT = 0.1;
/** Mean duration before the first request ends. */
const DEFAULT_DURATION_MS = 1_000;
const MIN_RETRY_AFTER_MS = 50;
/** Maximum time for which a refusal of the home node is reused without another draw. */
const MAX_BLOCKED_MS = 100;

/**
 * Creates a limiter without allowances.
 *
 * @param parts its dependencies
 */
export function createTeamLimiter(parts: TeamLimiterParts): TeamLimiter {
  const { clock, node } = parts;
  const allowances = new Map<string, TeamAllowance>();
  let renewal: Timer | undefined;

  function open(team: Team): TeamAllowance {
    const known = allowances.get(team.name);
    if (known !== undefined) {
      known.team = team;
      return known;
    }
    const opened: TeamAllowance = {
      team,
      requests: 0,
      tokens: 0,
      places: 0,
      inUse: 0,
      expiresAt: 0,
      spentRequests: 0,
      spentTokens: 0,
      drawnAt: clock.now(),
      meanDurationMs: DEFAULT_DURATION_MS,
      drawing: undefined,
      blockedUntil: 0,
      blockedTokens: 0,
      share: undefined,
    };
    allowances.set(team.name, opened);
    scheduleRenewal();
    return opened;
  }

  async function admit(team: Team, expected: number): Promise<Result<LimitTicket, Failure>> {
    if (!hasLimits(team)) return Ok({ end: () => undefined });
    const allowance = open(team);
    for (let draws = 0; ; draws += 1) {
      if (spend(allowance, expected)) return Ok(createTicket(allowance, expected));
      if (draws >= MAX_DRAWS) return Err(refuse(allowance, MIN_RETRY_AFTER_MS));
      const blockedMs = allowance.blockedUntil - clock.now();
      if (blockedMs > 0 && expected >= allowance.blockedTokens) {
        return Err(refuse(allowance, blockedMs));
      }
      const isFirst = allowance.drawing === undefined;
      allowance.drawing ??= draw(allowance, expected);
      const drawn = await allowance.drawing;
      // A draw started by another request may have been too small for this one.
      const isFinal = isFirst && (drawn.retryAfterMs > 0 || lacksPlace(allowance));
      if (isFinal) return Err(block(allowance, expected, drawn.retryAfterMs));
    }
  }

  /** Refuses a request and, without further draws, those that follow within a short time. */
  function block(allowance: TeamAllowance, expected: number, retryAfterMs: number): Failure {
    const blockedMs = lacksPlace(allowance)
      ? MAX_BLOCKED_MS
      : Math.min(MAX_BLOCKED_MS, retryAfterMs);
    allowance.blockedUntil = clock.now() + blockedMs;
    allowance.blockedTokens = lacksPlace(allowance) ? 0 : expected;
    return refuse(allowance, retryAfterMs);
  }

  function spend(allowance: TeamAllowance, expected: number): boolean {
    const { limits } = allowance.team;
    if (lacksPlace(allowance)) return false;
    const isValid = clock.now() <= allowance.expiresAt;
    const hasRateLimits =
      limits.requestsPerSecond !== undefined || limits.tokensPerMinute !== undefined;
    if (hasRateLimits && !isValid) return false;
    if (limits.requestsPerSecond !== undefined && allowance.requests < 1) return false;
    if (limits.tokensPerMinute !== undefined && allowance.tokens < expected) return false;
    allowance.requests -= 1;
    allowance.tokens -= expected;
    allowance.spentRequests += 1;
    allowance.spentTokens += expected;
    allowance.inUse += 1;
    return true;
  }

  function createTicket(allowance: TeamAllowance, expected: number): LimitTicket {
    const startedAt = clock.now();
    let isOpen = true;
    return {
      end(tokens) {
        if (!isOpen) return;
        isOpen = false;
        allowance.inUse -= 1;
        allowance.tokens -= tokens - expected;
        const durationMs = clock.now() - startedAt;
        allowance.meanDurationMs += (durationMs - allowance.meanDurationMs) * NEWEST_WEIGHT;
      },
    };
  }

  async function draw(allowance: TeamAllowance, expected: number): Promise<LimitAllowance> {
    const wanted = createDraw(allowance, expected);
    const drawn = (await parts.draw(wanted)) ?? drawShare(allowance, wanted);
    const now = clock.now();
    if (now > allowance.expiresAt) {
      allowance.requests = 0;
      // The allowance has expired, but debt from underestimated requests remains.
      allowance.tokens = Math.min(0, allowance.tokens);
    }
    allowance.requests += drawn.requests;
    allowance.tokens += drawn.tokens;
    allowance.places = Math.max(drawn.places, allowance.inUse);
    if (drawn.retryAfterMs === 0) allowance.expiresAt = now + ALLOWANCE_TTL_MS;
    allowance.spentRequests = 0;
    allowance.spentTokens = 0;
    allowance.drawnAt = now;
    allowance.drawing = undefined;
    return drawn;
  }

  /** Draws the minimum for the request, plus what was spent per batch time since the last draw. */
  function createDraw(allowance: TeamAllowance, expected: number): LimitDraw {
    const sinceMs = Math.max(1, clock.now() - allowance.drawnAt);
    const batches = Math.min(1, BATCH_MS / sinceMs);
    const debt = Math.max(0, -allowance.tokens);
    const leastTokens = Math.ceil(expected + debt);
    const batch = Math.ceil(allowance.spentRequests * batches);
    return {
      kind: 'limits.draw',
      team: allowance.team.name,
      leastRequests: 1,
      requests: Math.max(1, batch),
      leastTokens,
      tokens: leastTokens + Math.ceil(allowance.spentTokens * batches),
      places: allowance.inUse + Math.max(1, batch),
      inUse: allowance.inUse,
    };
  }

  function drawShare(allowance: TeamAllowance, wanted: LimitDraw): LimitAllowance {
    allowance.share ??= createLimitHome({
      clock,
      limitsOf: () => divideLimits(allowance.team, Math.max(1, parts.aliveCount())),
    });
    return allowance.share.draw(node, wanted);
  }

  function refuse(allowance: TeamAllowance, retryAfterMs: number): Failure {
    const { team, meanDurationMs } = allowance;
    const isFull = lacksPlace(allowance);
    const msUntilPlace = meanDurationMs / (team.limits.concurrency ?? 1);
    return createRefusal({
      code: isFull ? 'concurrency-limited' : 'rate-limited',
      message: isFull
        ? `team "${team.name}" has reached its limit of concurrent requests`
        : `team "${team.name}" has exceeded its limit of requests or tokens per time`,
      step: 'request.admit',
      peer: node,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, isFull ? msUntilPlace : retryAfterMs),
    });
  }

  function scheduleRenewal(): void {
    renewal ??= clock.after(RENEWAL_INTERVAL_MS, () => {
      renewal = undefined;
      for (const allowance of [...allowances.values()]) renew(allowance);
      if (allowances.size > 0) scheduleRenewal();
    });
  }

  /** Renews the places in use at the home node and returns the unused ones. */
  function renew(allowance: TeamAllowance): void {
    const { team, inUse } = allowance;
    if (team.limits.concurrency !== undefined && allowance.drawing === undefined) {
      allowance.places = inUse;
      const nothing = { leastRequests: 0, requests: 0, leastTokens: 0, tokens: 0 };
      const places = { places: inUse, inUse };
      void parts.draw({ kind: 'limits.draw', team: team.name, ...nothing, ...places });
    }
    const isIdle = inUse === 0 && allowance.tokens >= 0 && clock.now() > allowance.expiresAt;
    if (isIdle && allowance.drawing === undefined) allowances.delete(team.name);
  }

  return {
    admit,
    stop() {
      renewal?.cancel();
    },
  };
}

function hasLimits({ limits }: Team): boolean {
  return (
    limits.requestsPerSecond !== undefined ||
    limits.tokensPerMinute !== undefined ||
    limits.concurrency !== undefined
  );
}

function lacksPlace({ team, places, inUse }: TeamAllowance): boolean {
  return team.limits.concurrency !== undefined && inUse >= places;
}

function divideLimits({ limits }: Team, nodes: number): Team['limits'] {
  const { requestsPerSecond, tokensPerMinute, concurrency } = limits;
  return {
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond: requestsPerSecond / nodes }),
    ...(tokensPerMinute === undefined ? {} : { tokensPerMinute: tokensPerMinute / nodes }),
    ...(concurrency === undefined
      ? {}
      : { concurrency: Math.max(1, Math.floor(concurrency / nodes)) }),
  };
}
