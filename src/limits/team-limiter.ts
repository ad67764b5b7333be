/**
 * A node's side of the limits of teams: it spends what it drew from each team's home, and draws
 * again in batches that follow what it spends.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { Team } from '../configuration/objects.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { LimitAllowance, LimitDraw } from '../links/index.js';
import type { Clock, Timer } from '../task/index.js';
import { createLimitHome, type LimitHome } from './home.js';
import { ALLOWANCE_TTL_MS, BATCH_MS, RENEWAL_INTERVAL_MS } from './terms.js';

/** What a request is charged with until it ends. */
export interface LimitTicket {
  /** @param tokens the prompt and output tokens that it really had */
  end(tokens: number): void;
}

/** What a node's allowances need. */
export interface TeamLimiterParts {
  node: string;
  clock: Clock;
  /** Asks a team's home, this node's own included; `undefined` when it cannot be reached. */
  draw(draw: LimitDraw): Promise<LimitAllowance | undefined>;
  /** How many nodes are alive, this one included. */
  aliveCount(): number;
}

/** A node's allowances. */
export interface TeamLimiter {
  /** Lets a request of a team pass, or refuses it with the time to come back. */
  admit(team: Team, expectedTokens: number): Promise<Result<LimitTicket, Failure>>;
  stop(): void;
}

interface TeamAllowance {
  team: Team;
  requests: number;
  tokens: number;
  /** Places that the home lets this node use. */
  places: number;
  inUse: number;
  /** After this nothing of the allowance may be spent. */
  spendBy: number;
  /** Spent since the last draw. */
  spentRequests: number;
  spentTokens: number;
  drawnAt: number;
  /** How long requests take, in milliseconds. */
  holdMs: number;
  drawing: Promise<LimitAllowance> | undefined;
  /** Until then the home is not asked again for as many tokens or more. */
  blockedUntil: number;
  blockedTokens: number;
  /** This node's own share, used while the home cannot be reached. */
  share: LimitHome | undefined;
}

/** Draws that one request waits for before it is refused. */
const MAX_DRAWS = 3;
const NEWEST_WEIGHT = 0.1;
const FIRST_HOLD_MS = 1_000;
const LEAST_RETRY_AFTER_MS = 50;
/** Longest time for which a home's refusal stands without asking again. */
const BLOCKED_MS = 100;

/**
 * Creates a node's allowances, all empty.
 *
 * @param parts how to reach homes
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
      spendBy: 0,
      spentRequests: 0,
      spentTokens: 0,
      drawnAt: clock.now(),
      holdMs: FIRST_HOLD_MS,
      drawing: undefined,
      blockedUntil: 0,
      blockedTokens: 0,
      share: undefined,
    };
    allowances.set(team.name, opened);
    scheduleRenewal();
    return opened;
  }

  async function enter(team: Team, expected: number): Promise<Result<LimitTicket, Failure>> {
    if (!hasLimits(team)) return Ok({ end: () => undefined });
    const allowance = open(team);
    for (let draws = 0; ; draws += 1) {
      if (spend(allowance, expected)) return Ok(createTicket(allowance, expected));
      if (draws >= MAX_DRAWS) return Err(refuse(allowance, LEAST_RETRY_AFTER_MS));
      const blockedMs = allowance.blockedUntil - clock.now();
      if (blockedMs > 0 && expected >= allowance.blockedTokens) {
        return Err(refuse(allowance, blockedMs));
      }
      const isFirst = allowance.drawing === undefined;
      allowance.drawing ??= draw(allowance, expected);
      const drawn = await allowance.drawing;
      // A draw that another request began may have been too small for this one.
      const isFinal = isFirst && (drawn.retryAfterMs > 0 || lacksPlace(allowance));
      if (isFinal) return Err(block(allowance, expected, drawn.retryAfterMs));
    }
  }

  /** Refuses, and the next ones too for a moment, so that a refused request costs no message. */
  function block(allowance: TeamAllowance, expected: number, retryAfterMs: number): Failure {
    const blockedMs = lacksPlace(allowance) ? BLOCKED_MS : Math.min(BLOCKED_MS, retryAfterMs);
    allowance.blockedUntil = clock.now() + blockedMs;
    allowance.blockedTokens = lacksPlace(allowance) ? 0 : expected;
    return refuse(allowance, retryAfterMs);
  }

  function spend(allowance: TeamAllowance, expected: number): boolean {
    const { limits } = allowance.team;
    if (lacksPlace(allowance)) return false;
    const isFresh = clock.now() <= allowance.spendBy;
    const isRated = limits.requestsPerSecond !== undefined || limits.tokensPerMinute !== undefined;
    if (isRated && !isFresh) return false;
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
        const heldMs = clock.now() - startedAt;
        allowance.holdMs += (heldMs - allowance.holdMs) * NEWEST_WEIGHT;
      },
    };
  }

  async function draw(allowance: TeamAllowance, expected: number): Promise<LimitAllowance> {
    const wanted = createDraw(allowance, expected);
    const drawn = (await parts.draw(wanted)) ?? drawShare(allowance, wanted);
    const now = clock.now();
    if (now > allowance.spendBy) {
      allowance.requests = 0;
      // What was used beyond the estimate stays owed.
      allowance.tokens = Math.min(0, allowance.tokens);
    }
    allowance.requests += drawn.requests;
    allowance.tokens += drawn.tokens;
    allowance.places = Math.max(drawn.places, allowance.inUse);
    if (drawn.retryAfterMs === 0) allowance.spendBy = now + ALLOWANCE_TTL_MS;
    allowance.spentRequests = 0;
    allowance.spentTokens = 0;
    allowance.drawnAt = now;
    allowance.drawing = undefined;
    return drawn;
  }

  /** What is needed at least, and as much as was spent in the time of a batch. */
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
    const { team, holdMs } = allowance;
    const isFull = lacksPlace(allowance);
    const placeMs = holdMs / (team.limits.concurrency ?? 1);
    return createRefusal({
      code: isFull ? 'concurrency-limited' : 'rate-limited',
      message: isFull
        ? `team "${team.name}" has as many requests in flight as it may`
        : `team "${team.name}" is over its rate of requests or tokens`,
      step: 'request.admit',
      peer: node,
      retryAfterMs: Math.max(LEAST_RETRY_AFTER_MS, isFull ? placeMs : retryAfterMs),
    });
  }

  function scheduleRenewal(): void {
    renewal ??= clock.after(RENEWAL_INTERVAL_MS, () => {
      renewal = undefined;
      for (const allowance of [...allowances.values()]) renew(allowance);
      if (allowances.size > 0) scheduleRenewal();
    });
  }

  /** Tells the home which places are still used; gives the others back. */
  function renew(allowance: TeamAllowance): void {
    const { team, inUse } = allowance;
    if (team.limits.concurrency !== undefined && allowance.drawing === undefined) {
      allowance.places = inUse;
      const nothing = { leastRequests: 0, requests: 0, leastTokens: 0, tokens: 0 };
      const places = { places: inUse, inUse };
      void parts.draw({ kind: 'limits.draw', team: team.name, ...nothing, ...places });
    }
    const isIdle = inUse === 0 && allowance.tokens >= 0 && clock.now() > allowance.spendBy;
    if (isIdle && allowance.drawing === undefined) allowances.delete(team.name);
  }

  return {
    admit: enter,
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
