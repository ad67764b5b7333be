/**
 * The shard holder's record of one backend server: its state, the permits granted on it and the KV
 * cache reserved for them.
 */
import type { PermitQuery } from '../links/index.js';
import {
  PREFIX_BLOCK_TOKENS,
  type EngineState,
  type Role,
  type ServiceState,
  type Vm,
} from '../ports/index.js';
import { createPrefixIndex, type PrefixIndex } from './prefix-index.js';
import { createServerHealth, type ServerHealth } from './server-health.js';
import { createServerRates, type ServerRates } from './server-rates.js';

/** The prefill of a permit before its first token. */
export interface PendingPrefill {
  /** Prefixes of the prompt, which the server has cached once the first token arrives. */
  prefixes: readonly string[];
  /** Prompt tokens that were not expected in the cache. */
  uncachedTokens: number;
  /** Prompt tokens that the server prefills until the first token, with those queued ahead. */
  tokensToFirstToken: number;
  /** Estimated time to first token, in milliseconds. */
  expectedMs: number;
  /** Time by which the first token is due, on the holder's clock. */
  firstTokenDeadline: number;
  /** Whether it was recorded as a failure of the server. */
  isCountedAsSlow: boolean;
}

/** The holder's record of a permit. */
export interface GrantedPermit {
  permitId: string;
  requestId: string;
  /** The node whose router uses it. */
  node: string;
  server: string;
  team: string;
  class: string;
  /** The team's weight; 1 if unknown. */
  weight: number;
  promptTokens: number;
  outputTokens: number;
  /** Whether the prompt was classified as long. */
  isLong: boolean;
  /** Inter-token latency objective, in milliseconds. */
  betweenTokensMs: number;
  /** Work charged to the team on the grant, in prefill tokens. */
  charged: number;
  /** Whether the output is that of the whole request; a later attempt may continue an answer. */
  isFirstAttempt: boolean;
  /** Requests on the server on the grant, this one included. */
  batch: number;
  /** The server that prefills the prompt, if it is a different one. */
  prefillServer: string | undefined;
  /** When the permit was granted or adopted, on the holder's clock. */
  grantedAt: number;
  /** `undefined` after the first token, and for a permit of an earlier holder. */
  pendingPrefill: PendingPrefill | undefined;
}

/** The record of a server. */
export interface Server {
  vm: Vm;
  /** Maximum number of concurrent requests. */
  slots: number;
  /** KV cache in tokens; infinite for plain services. */
  kvTokens: number;
  prefillTokensPerSecond: number;
  decodeTokensPerSecond: number;
  role: Role;
  models: ReadonlySet<string>;
  adapters: ReadonlySet<string>;
  /** Changes with every start of the server's process; empty before the first answer. */
  incarnation: string;
  /** Consecutive state requests of the holder without an answer. */
  missedAnswers: number;
  /** Whether the engine is executing an order. */
  busy: boolean;
  /** Whether the server reports that it is leaving. */
  leaving: boolean;
  /** Whether the holder grants no permits because it is about to give an order. */
  heldForOrder: boolean;
  permits: Map<string, GrantedPermit>;
  /** KV cache tokens reserved by the permits. */
  reservedTokens: number;
  /** Permits before their first token, by id. */
  prefilling: Map<string, GrantedPermit>;
  prefixes: PrefixIndex;
  /** Prefixes of the queued prompts that are assigned to this server. */
  plannedPrefixes: PrefixIndex;
  rates: ServerRates;
  health: ServerHealth;
}

/** Slots assumed before the first answer of a server. */
const DEFAULT_SLOTS = 4;

/**
 * Creates the record of a server that has not been queried yet.
 *
 * @param vm the server's VM
 */
export function createServer(vm: Vm): Server {
  return {
    vm,
    slots: DEFAULT_SLOTS,
    kvTokens: Number.POSITIVE_INFINITY,
    prefillTokensPerSecond: Number.POSITIVE_INFINITY,
    decodeTokensPerSecond: Number.POSITIVE_INFINITY,
    role: 'mixed',
    models: new Set(),
    adapters: new Set(),
    incarnation: '',
    missedAnswers: 0,
    busy: false,
    leaving: false,
    heldForOrder: false,
    permits: new Map(),
    reservedTokens: 0,
    prefilling: new Map(),
    prefixes: createPrefixIndex(),
    plannedPrefixes: createPrefixIndex(),
    rates: createServerRates(),
    health: createServerHealth(),
  };
}

/**
 * Updates the record from the state that an engine reports.
 *
 * @param server the record to change
 * @param state the reported state
 */
export function applyEngineState(server: Server, state: EngineState): void {
  if (server.incarnation !== state.incarnation) {
    server.prefixes.clear();
    server.plannedPrefixes.clear();
    server.health.restart();
  }
  server.incarnation = state.incarnation;
  server.missedAnswers = 0;
  server.rates.setNominal(state);
  server.slots = state.maxBatch;
  server.kvTokens = state.kvTokensTotal;
  server.prefillTokensPerSecond = state.prefillTokensPerSecond;
  server.decodeTokensPerSecond = state.decodeTokensPerSecond;
  server.role = state.role;
  server.models = new Set(state.models);
  server.adapters = new Set(state.adapters);
  server.busy = state.busy;
  server.leaving = state.leaving;
}

/**
 * Updates the record from the state that a plain service's worker reports.
 *
 * @param server the record to change
 * @param state the reported state
 */
export function applyServiceState(server: Server, state: ServiceState): void {
  if (server.incarnation !== state.incarnation) server.health.restart();
  server.incarnation = state.incarnation;
  server.missedAnswers = 0;
  server.slots = state.maxConcurrency;
  server.leaving = state.leaving;
}

/**
 * Adds a permit; does nothing if it is already recorded.
 *
 * @param server the record to change
 * @param permit the permit
 */
export function addPermit(server: Server, permit: GrantedPermit): void {
  if (server.permits.has(permit.permitId)) return;
  server.permits.set(permit.permitId, permit);
  if (permit.pendingPrefill !== undefined) server.prefilling.set(permit.permitId, permit);
  server.reservedTokens += permit.promptTokens + permit.outputTokens;
}

/**
 * Removes a permit; returns `undefined` if it is not recorded.
 *
 * @param server the record to change
 * @param permitId id of the permit
 */
export function removePermit(server: Server, permitId: string): GrantedPermit | undefined {
  const permit = server.permits.get(permitId);
  if (permit === undefined) return undefined;
  server.permits.delete(permitId);
  server.prefilling.delete(permitId);
  server.reservedTokens -= permit.promptTokens + permit.outputTokens;
  return permit;
}

/**
 * Cost of an output token in prefill tokens, in a full batch at the rates that the engine reports;
 * 1 if it has not reported any.
 *
 * @param server the server
 */
export function resolveOutputWeight(server: Server): number {
  const { prefillTokensPerSecond, decodeTokensPerSecond, slots } = server;
  const weight = prefillTokensPerSecond / (decodeTokensPerSecond * slots);
  return Number.isFinite(weight) ? weight : 1;
}

/**
 * Slots without a permit.
 *
 * @param server the server
 */
export function countFreeSlots(server: Server): number {
  return server.slots - server.permits.size;
}

/** A permit query with the holder's classification. */
export interface ClassifiedRequest {
  query: PermitQuery;
  /** Whether the prompt is classified as long. */
  isLong: boolean;
  /** Whether the team recently exceeded its fair share. */
  isBeyondShare: boolean;
}

/**
 * Uncached prompt tokens that a server prefills before a new request. Short prompts have a higher
 * engine priority, so long prompts do not count for them.
 *
 * @param server the server
 * @param isLong whether the new request's prompt is classified as long
 */
export function countPrefillQueueTokens(server: Server, isLong: boolean): number {
  let tokens = 0;
  for (const permit of server.prefilling.values()) {
    if (permit.isLong && !isLong) continue;
    tokens += permit.pendingPrefill?.uncachedTokens ?? 0;
  }
  return tokens;
}

/**
 * Permits with long prompts on a server.
 *
 * @param server the server
 */
export function countLongPrompts(server: Server): number {
  let count = 0;
  for (const { isLong } of server.permits.values()) {
    if (isLong) count += 1;
  }
  return count;
}

/**
 * Prompt tokens of a request that are not in the server's prefix cache.
 *
 * @param server the server
 * @param query the request
 */
export function countUncachedTokens(server: Server, query: PermitQuery): number {
  const cached = server.prefixes.countCached(query.prefixes) * PREFIX_BLOCK_TOKENS;
  return Math.max(0, query.promptTokens - cached);
}

/**
 * Prompt tokens of a request that will not be in the prefix cache once the queued prompts that are
 * assigned to the server have been prefilled.
 *
 * @param server the server
 * @param query the request
 */
export function countUncachedAfterQueue(server: Server, query: PermitQuery): number {
  const planned = server.plannedPrefixes.countCached(query.prefixes);
  const cached = Math.max(planned, server.prefixes.countCached(query.prefixes));
  return Math.max(0, query.promptTokens - cached * PREFIX_BLOCK_TOKENS);
}
