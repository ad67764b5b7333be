/**
 * Creates the permit that is sent to the router and the holder's own record of it.
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

/** Identity and circumstances of a grant. */
export interface GrantTerms {
  permitId: string;
  shard: string;
  fence: number;
  now: number;
  /** Whether the team exceeds its fair share. */
  isBeyondShare: boolean;
}

/** A granted permit with its records. */
export interface Grant {
  permit: Permit;
  /** The record on the server that decodes. */
  granted: GrantedPermit;
  /** The record on the server that prefills, if it is a different one. */
  prefill: GrantedPermit | undefined;
}

/**
 * Creates a grant.
 *
 * @param waiting the request
 * @param choice the servers choice for it
 * @param terms identity and circumstances of the grant
 */
export function createGrant(
  waiting: WaitingRequest,
  choice: ServerChoice,
  terms: GrantTerms,
): Grant {
  const { server, prefill } = choice;
  const permit = createPermit(waiting, choice, terms);
  if (prefill === undefined) {
    const granted = createGrantedPermit(waiting, server, terms);
    return { permit, granted, prefill: undefined };
  }
  const prefillGranted = createGrantedPermit(waiting, prefill, terms);
  prefillGranted.permitId = resolvePrefillId(terms.permitId);
  prefillGranted.outputTokens = 0;
  const granted = createGrantedPermit(waiting, server, terms);
  granted.pendingPrefill = undefined;
  granted.charged = prefillGranted.charged;
  granted.prefillServer = prefill.vm.id;
  return { permit, granted, prefill: prefillGranted };
}

const PREFILL_SUFFIX = '/prefill';

/**
 * Returns the id of the record on a separate prefill server.
 *
 * @param permitId id of the permit
 */
export function resolvePrefillId(permitId: string): string {
  return `${permitId}${PREFILL_SUFFIX}`;
}

/**
 * Returns the id of the permit that a record belongs to.
 *
 * @param id id of a permit, or an id from `resolvePrefillId`
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

function createGrantedPermit(
  waiting: WaitingRequest,
  server: Server,
  terms: GrantTerms,
): GrantedPermit {
  const { query, isLong } = waiting;
  const uncachedTokens = countUncachedTokens(server, query);
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
    charged: uncachedTokens + query.expectedOutputTokens * resolveOutputWeight(server),
    isFirstAttempt: query.attempt === 1,
    isLong,
    betweenTokensMs: query.betweenTokensMs ?? Number.POSITIVE_INFINITY,
    batch: server.permits.size + 1,
    prefillServer: undefined,
    grantedAt: terms.now,
    pendingPrefill: createPendingPrefill(waiting, server, uncachedTokens, terms.now),
  };
}

function createPendingPrefill(
  { query, isLong, firstTokenDeadline }: WaitingRequest,
  server: Server,
  uncachedTokens: number,
  now: number,
): PendingPrefill | undefined {
  if (server.vm.kind === 'plain-service') return undefined;
  const tokensToFirstToken = countPrefillQueueTokens(server, isLong) + uncachedTokens;
  const expectedMs = server.rates.firstTokenMs(tokensToFirstToken, now);
  const { prefixes } = query;
  return {
    prefixes,
    uncachedTokens,
    tokensToFirstToken,
    expectedMs,
    firstTokenDeadline,
    isCountedAsSlow: false,
  };
}

/** A permit in use that was granted by an earlier holder, as its router reports it. */
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
 * Creates the record of a permit that an earlier holder granted.
 *
 * @param adopted the router's report
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
