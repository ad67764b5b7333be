/**
 * The exact tally of one backend server: the permits out, the tokens they may occupy, and what is
 * known of the server itself. Only the shard's holder has one.
 */
import type { EngineState, Role, ServiceState, Vm } from '../platform/index.js';
import { createPrefixIndex, type PrefixIndex } from './prefix-index.js';

/** A permit as the holder remembers it. */
export interface GrantedPermit {
  permitId: string;
  requestId: string;
  /** The node whose router uses it. */
  node: string;
  server: string;
  team: string;
  class: string;
  promptTokens: number;
  outputTokens: number;
  /** When it was granted or adopted, on the holder's clock. */
  grantedAt: number;
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
  silences: number;
  /** Carrying out an order. */
  busy: boolean;
  /** It said itself that it leaves. */
  leaving: boolean;
  /** No new work, because an order is about to be given. */
  heldForOrder: boolean;
  /** Requests running, as last reported, with the time of the report on the holder's clock. */
  reportedRunning: number | undefined;
  reportedAt: number;
  permits: Map<string, GrantedPermit>;
  /** Tokens that the permits out may come to occupy. */
  reservedTokens: number;
  prefixes: PrefixIndex;
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
    silences: 0,
    busy: false,
    leaving: false,
    heldForOrder: false,
    reportedRunning: undefined,
    reportedAt: 0,
    permits: new Map(),
    reservedTokens: 0,
    prefixes: createPrefixIndex(),
  };
}

/**
 * Takes in what an engine says of itself.
 *
 * @param server the tally to change
 * @param state the engine's own word
 */
export function learnEngine(server: Server, state: EngineState): void {
  if (server.incarnation !== state.incarnation) server.prefixes.clear();
  server.incarnation = state.incarnation;
  server.silences = 0;
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
export function learnService(server: Server, state: ServiceState): void {
  server.incarnation = state.incarnation;
  server.silences = 0;
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
  server.reservedTokens -= permit.promptTokens + permit.outputTokens;
  return permit;
}

/**
 * Free places for requests, as far as slots go.
 *
 * @param server the tally to read
 */
export function freeSlots(server: Server): number {
  return server.slots - server.permits.size;
}
