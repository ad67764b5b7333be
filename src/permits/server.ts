/**
 * The exact tally of one backend server: the permits out, the tokens they may occupy, and what is
 * known of the server itself. Only the shard's holder has one.
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

/** A permit's way to its first token. */
export interface PendingPrefill {
  /** The prompt's prefixes, which the server has cached from the first token on. */
  prefixes: readonly string[];
  /** Prompt tokens that were not expected in the cache. */
  uncachedTokens: number;
  /** Prompt tokens to be read on the server until this one's first token. */
  tokensToFirstToken: number;
  /** How long the first token was expected to take, in milliseconds. */
  expectedMs: number;
  /** When the first token is late, on the holder's clock. */
  firstTokenDeadline: number;
  /** Whether it was counted against the server as slow. */
  isCountedAsSlow: boolean;
}

/** A permit as the holder remembers it. */
export interface GrantedPermit {
  permitId: string;
  requestId: string;
  /** The node whose router uses it. */
  node: string;
  server: string;
  team: string;
  class: string;
  /** The team's weight, where it is known. */
  weight: number;
  promptTokens: number;
  outputTokens: number;
  /** Whether its prompt counted as long. */
  isLong: boolean;
  /** Longest time between two tokens, in milliseconds. */
  betweenTokensMs: number;
  /** Charged to the team when it was granted, in prompt tokens to read. */
  charged: number;
  /** Whether the answer's length is that of a whole answer. */
  isFirstAttempt: boolean;
  /** Requests on the server when it was granted, itself included. */
  batch: number;
  /** The server that reads its prompt, when it is another. */
  prefillServer: string | undefined;
  /** When it was granted or adopted, on the holder's clock. */
  grantedAt: number;
  /** Absent once the first token came, and for a permit granted by an earlier holder. */
  pendingPrefill: PendingPrefill | undefined;
}

/** What is known of a server and what was granted on it. */
export interface Server {
  vm: Vm;
  /** Most requests at once. */
  slots: number;
  /** KV cache in tokens; infinite for plain services. */
  kvTokens: number;
  prefillTokensPerSecond: number;
  decodeTokensPerSecond: number;
  role: Role;
  models: ReadonlySet<string>;
  adapters: ReadonlySet<string>;
  /** Changes with every start of the server's process; empty until it was first reached. */
  incarnation: string;
  /** How often in a row it did not answer the holder. */
  missedAnswers: number;
  /** Carrying out an order. */
  busy: boolean;
  /** It said itself that it leaves. */
  leaving: boolean;
  /** No new work, because an order is about to be given. */
  heldForOrder: boolean;
  permits: Map<string, GrantedPermit>;
  /** Tokens that the permits out may come to occupy. */
  reservedTokens: number;
  /** The permits whose first token has not come, by id. */
  prefilling: Map<string, GrantedPermit>;
  prefixes: PrefixIndex;
  /** Prefixes of the prompts that wait for this server, which it will have cached. */
  plannedPrefixes: PrefixIndex;
  rates: ServerRates;
  health: ServerHealth;
}

/** Assumed until the server was first asked. */
const UNKNOWN_SLOTS = 4;

/**
 * Creates the tally of a server about which only the platform's list has spoken.
 *
 * @param vm the server's VM
 */
export function createServer(vm: Vm): Server {
  return {
    vm,
    slots: UNKNOWN_SLOTS,
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
 * Takes in what an engine says of itself.
 *
 * @param server the tally to change
 * @param state the engine's own word
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
 * Takes in what a plain service's worker says of itself.
 *
 * @param server the tally to change
 * @param state the worker's own word
 */
export function applyServiceState(server: Server, state: ServiceState): void {
  if (server.incarnation !== state.incarnation) server.health.restart();
  server.incarnation = state.incarnation;
  server.missedAnswers = 0;
  server.slots = state.maxConcurrency;
  server.leaving = state.leaving;
}

/**
 * Counts a permit.
 *
 * @param server the tally to change
 * @param permit the permit that is out from now on
 */
export function addPermit(server: Server, permit: GrantedPermit): void {
  if (server.permits.has(permit.permitId)) return;
  server.permits.set(permit.permitId, permit);
  if (permit.pendingPrefill !== undefined) server.prefilling.set(permit.permitId, permit);
  server.reservedTokens += permit.promptTokens + permit.outputTokens;
}

/**
 * Counts a permit no longer.
 *
 * @param server the tally to change
 * @param permitId the permit that is no longer out
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
 * How many prompt tokens a server reads in the time that one token of an answer costs it in a full
 * batch, by its own word; 1 where it said nothing.
 *
 * @param server the tally to read
 */
export function resolveOutputWeight(server: Server): number {
  const { prefillTokensPerSecond, decodeTokensPerSecond, slots } = server;
  const weight = prefillTokensPerSecond / (decodeTokensPerSecond * slots);
  return Number.isFinite(weight) ? weight : 1;
}

/**
 * Free places for requests, as far as slots go.
 *
 * @param server the tally to read
 */
export function countFreeSlots(server: Server): number {
  return server.slots - server.permits.size;
}

/** A request that looks for a place. */
export interface ClassifiedRequest {
  query: PermitQuery;
  /** Whether its prompt counts as long. */
  isLong: boolean;
  /** Whether its team had more than its share lately. */
  isBeyondShare: boolean;
}

/**
 * Prompt tokens on the server that are read before those of a new request. Engines honour
 * priorities and short prompts are given the better one, so long prompts do not count for a short
 * one.
 *
 * @param server the tally to read
 * @param isLong whether the new request's prompt counts as long
 */
export function countPrefillQueueTokens(server: Server, isLong: boolean): number {
  let tokens = 0;
  for (const reader of server.prefilling.values()) {
    if (reader.isLong && !isLong) continue;
    tokens += reader.pendingPrefill?.uncachedTokens ?? 0;
  }
  return tokens;
}

/**
 * Requests with long prompts on the server.
 *
 * @param server the tally to read
 */
export function countLongPrompts(server: Server): number {
  let count = 0;
  for (const { isLong } of server.permits.values()) {
    if (isLong) count += 1;
  }
  return count;
}

/**
 * Prompt tokens of a request that the server would have to read.
 *
 * @param server the tally to read
 * @param query the request
 */
export function countUncachedTokens(server: Server, query: PermitQuery): number {
  const cached = server.prefixes.countCached(query.prefixes) * PREFIX_BLOCK_TOKENS;
  return Math.max(0, query.promptTokens - cached);
}

/**
 * Prompt tokens of a request that the server would have to read after what waits for it.
 *
 * @param server the tally to read
 * @param query the request
 */
export function countUncachedAfterQueue(server: Server, query: PermitQuery): number {
  const planned = server.plannedPrefixes.countCached(query.prefixes);
  const cached = Math.max(planned, server.prefixes.countCached(query.prefixes));
  return Math.max(0, query.promptTokens - cached * PREFIX_BLOCK_TOKENS);
}
