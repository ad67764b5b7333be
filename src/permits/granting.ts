/**
 * What a holder writes down, and what it tells the router, when it grants a permit.
 */
import type { Permit } from '../links/index.js';
import type { ServerChoice } from './choice.js';
import { resolveEnginePriority } from './engine-priority.js';
import type { WaitingRequest } from './queue.js';
import {
  resolveOutputWeight,
  countPrefillQueueTokens,
  countUncachedTokens,
  type GrantedPermit,
  type PendingPrefill,
  type Server,
} from './server.js';

/** Who grants, and under which number. */
export interface GrantTerms {
  permitId: string;
  shard: string;
  fence: number;
  now: number;
  /** Whether the team has had more than its share. */
  isBeyondShare: boolean;
}

/** A grant, as it is written down on both servers and told to the router. */
export interface Grant {
  permit: Permit;
  /** The permit on the server that generates. */
  granted: GrantedPermit;
  /** The permit on the server that reads the prompt, when it is another. */
  prefill: GrantedPermit | undefined;
}

/**
 * Makes a grant.
 *
 * @param waiting the request whose turn it is
 * @param chosen where it goes
 * @param terms who grants
 */
export function createGrant(
  waiting: WaitingRequest,
  chosen: ServerChoice,
  terms: GrantTerms,
): Grant {
  const { server, prefill } = chosen;
  const permit = createPermit(waiting, chosen, terms);
  if (prefill === undefined) {
    const granted = createGranted(waiting, server, terms);
    return { permit, granted, prefill: undefined };
  }
  const reader = createGranted(waiting, prefill, terms);
  reader.permitId = resolvePrefillId(terms.permitId);
  reader.outputTokens = 0;
  const granted = createGranted(waiting, server, terms);
  granted.pendingPrefill = undefined;
  granted.charged = reader.charged;
  granted.prefillServer = prefill.vm.id;
  return { permit, granted, prefill: reader };
}

const PREFILL_SUFFIX = '/prefill';

/**
 * The id under which the pendingPrefill of a prompt on another server is counted.
 *
 * @param permitId id of the permit
 */
export function resolvePrefillId(permitId: string): string {
  return `${permitId}${PREFILL_SUFFIX}`;
}

/**
 * The id of the permit that an entry of a tally belongs to.
 *
 * @param id a permit's id, or one that `resolvePrefillId` made
 */
export function resolvePermitId(id: string): string {
  return id.endsWith(PREFILL_SUFFIX) ? id.slice(0, -PREFILL_SUFFIX.length) : id;
}

function createPermit(
  waiting: WaitingRequest,
  { server, prefill }: ServerChoice,
  terms: GrantTerms,
): Permit {
  const { query, isLong } = waiting;
  const { permitId, shard, fence, isBeyondShare } = terms;
  const { priority } = query;
  const permit: Permit = {
    permitId,
    shard,
    fence,
    server: server.vm.id,
    address: server.vm.address,
    waitedMs: terms.now - waiting.arrivedAt,
    enginePriority: resolveEnginePriority({ priority, isBeyondShare, isLong }),
  };
  if (prefill === undefined) return permit;
  return { ...permit, prefill: { server: prefill.vm.id, address: prefill.vm.address } };
}

function createGranted(waiting: WaitingRequest, server: Server, terms: GrantTerms): GrantedPermit {
  const { query, isLong } = waiting;
  const tokens = countUncachedTokens(server, query);
  return {
    permitId: terms.permitId,
    requestId: query.requestId,
    node: waiting.node,
    server: server.vm.id,
    team: query.team,
    class: query.class,
    weight: query.weight,
    promptTokens: query.promptTokens,
    outputTokens: query.expectedOutputTokens,
    charged: tokens + query.expectedOutputTokens * resolveOutputWeight(server),
    isFirstAttempt: query.attempt === 1,
    isLong,
    betweenTokensMs: query.betweenTokensMs ?? Number.POSITIVE_INFINITY,
    batch: server.permits.size + 1,
    prefillServer: undefined,
    grantedAt: terms.now,
    pendingPrefill: createReading(waiting, server, tokens, terms.now),
  };
}

function createReading(
  { query, isLong, firstTokenDeadline }: WaitingRequest,
  server: Server,
  tokens: number,
  now: number,
): PendingPrefill | undefined {
  if (server.vm.kind === 'plain-service') return undefined;
  const ahead = countPrefillQueueTokens(server, isLong) + tokens;
  const expectedMs = server.rates.firstTokenMs(ahead, now);
  const { prefixes } = query;
  return {
    prefixes,
    uncachedTokens: tokens,
    tokensToFirstToken: ahead,
    expectedMs,
    firstTokenDeadline: firstTokenDeadline,
    isCountedAsSlow: false,
  };
}

/** A permit that a router says it uses, granted by an earlier holder. */
export interface AdoptedPermit {
  permitId: string;
  requestId: string;
  server: string;
  team: string;
  class: string;
  promptTokens: number;
  expectedOutputTokens: number;
  weight?: number | undefined;
}

/**
 * What a holder writes down for a permit of an earlier holder.
 *
 * @param adopted the router's word
 * @param node the router's node
 * @param server the permit's server
 * @param now the time on the holder's clock
 */
export function createAdoptedPermit(
  adopted: AdoptedPermit,
  node: string,
  server: Server,
  now: number,
): GrantedPermit {
  const { expectedOutputTokens, weight = 1, ...known } = adopted;
  return {
    ...known,
    node,
    weight,
    outputTokens: expectedOutputTokens,
    charged: adopted.promptTokens + expectedOutputTokens * resolveOutputWeight(server),
    isFirstAttempt: false,
    isLong: false,
    betweenTokensMs: Number.POSITIVE_INFINITY,
    batch: server.permits.size + 1,
    prefillServer: undefined,
    grantedAt: now,
    pendingPrefill: undefined,
  };
}
