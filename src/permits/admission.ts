/**
 * When a request's first token may be expected, from the work that goes before it, the servers'
 * learned rates and the fair share of its team. Another team's queue counts only as far as that
 * team's turns come first, so a large team's queue takes a small team's chance from it by no more
 * than its share.
 */
import type { PermitQuery } from '../links/index.js';
import { resolveUsualBatch, resolveWorkMs } from './capacity.js';
import type { FairShare } from './fair-share.js';
import type { Lane } from './queue.js';
import { hasRoom, type RoomTerms } from './room.js';
import {
  resolveOutputWeight,
  tokensAhead,
  tokensUncached,
  type Guest,
  type Server,
} from './server.js';
import { addBacklog, createBacklog, type Backlog, type TeamQueue } from './team-queue.js';

/** When things may be expected, in milliseconds from now. */
export interface Forecast {
  /** Until a permit. */
  waitMs: number;
  /** From the permit to the first token. */
  readMs: number;
  /** From the first token to the end. */
  writeMs: number;
}

/** A lane, as far as it waits for the servers of a forecast. */
export interface LanePart {
  lane: Lane;
  /** From 0 to 1. */
  part: number;
}

/** What a forecast is made from. */
export interface ForecastInput {
  guest: Guest;
  /** The servers that can serve the request, with room or without. */
  candidates: readonly Server[];
  /** The lanes of requests for the same servers. */
  lanes: readonly LanePart[];
  share: FairShare;
  isFair: boolean;
  /** Factor by which waits turned out longer than foretold. */
  correction: number;
  /** Time between two permits that end, where it is known. */
  turnMs: number;
  now: number;
  terms: RoomTerms;
}

/**
 * Foretells a request's times.
 *
 * @param input the request, the servers and what waits
 */
export function resolveForecast(input: ForecastInput): Forecast {
  const { guest, candidates, now } = input;
  const readMs = resolveReadMs(guest, candidates, now);
  const writeMs = resolveWriteMs(input);
  // What stands in other lanes found no room, or it would not stand there.
  const before = resolveAhead(input, isOwnLane);
  if (before.requests === 0 && hasAnyRoom(input)) return { waitMs: 0, readMs, writeMs };
  const ahead = resolveAhead(input, isCompeting);
  const work = resolveWorkMs(candidates, ahead, now, input.terms);
  return { waitMs: work * input.correction + input.turnMs, readMs, writeMs };
}

/**
 * Least time from a permit to the first token on any of the servers, in milliseconds.
 *
 * @param guest the request
 * @param candidates the servers
 * @param now the time on the holder's clock
 */
export function resolveReadMs(guest: Guest, candidates: readonly Server[], now: number): number {
  let least = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const tokens = tokensAhead(server, guest.isLong) + tokensUncached(server, guest.query);
    const { rates, vm } = server;
    const callMs = vm.kind === 'plain-service' ? rates.callMs(now) : 0;
    least = Math.min(least, rates.firstTokenMs(tokens, now) + callMs);
  }
  return least;
}

function resolveWriteMs({ guest, candidates, now, terms }: ForecastInput): number {
  let least = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const batch = resolveUsualBatch(server, now, terms);
    least = Math.min(least, server.rates.stepMs(batch, now));
  }
  return guest.query.expectedOutputTokens * least;
}

function hasAnyRoom({ guest, candidates, now, terms }: ForecastInput): boolean {
  for (const server of candidates) {
    if (hasRoom(server, guest, now, terms)) return true;
  }
  return false;
}

/** Whether a request would stand in a lane. */
function isOwnLane(guest: Guest, lane: Lane): boolean {
  return lane.isLong === guest.isLong && lane.isBeyondShare === guest.isBeyondShare;
}

/** Short prompts pass long ones by, and teams within their share those beyond it. */
function isCompeting(guest: Guest, lane: Lane): boolean {
  if (lane.isBeyondShare && !guest.isBeyondShare) return false;
  return guest.isLong || !lane.isLong;
}

/** Work whose turn comes before the request's, in the lanes that count. */
function resolveAhead(
  input: ForecastInput,
  counts: (guest: Guest, lane: Lane) => boolean,
): Backlog {
  const { guest, share } = input;
  const { query } = guest;
  const lanes = input.lanes.filter(({ lane }) => counts(guest, lane));
  const ahead = createBacklog();
  for (const { lane, part } of lanes) {
    const queue = lane.teams.get(query.team);
    if (queue !== undefined) addBacklog(ahead, queue.backlog(query.priority), part);
  }
  const outputWeight = resolveLeastOutputWeight(input.candidates);
  const own = tokensOf(ahead, outputWeight) + tokensOfQuery(query, outputWeight);
  const finish = share.served(query.team) + own / query.weight;
  for (const { lane, part } of lanes) {
    for (const queue of lane.teams.values()) {
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
