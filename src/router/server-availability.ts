/**
 * Asks backend servers whether they accept new work, for placement without a holder, and caches the
 * answers briefly.
 */
import type { Vm } from '../ports/index.js';
import type { Clock } from '../task/index.js';
import type { Backends } from './backend.js';

const CACHE_TTL_MS = 1_000;

export interface ServerAvailability {
  /** Whether a server answers, is not leaving and, for an engine, is not executing an order. */
  acceptsWork(vm: Vm): Promise<boolean>;
}

interface CachedAnswer {
  askedAt: number;
  acceptsWork: Promise<boolean>;
}

/**
 * Creates the check, with an empty cache.
 *
 * @param clock the node's clock
 * @param backends ports to the servers
 */
export function createServerAvailability(clock: Clock, backends: Backends): ServerAvailability {
  const cache = new Map<string, CachedAnswer>();

  async function ask(vm: Vm): Promise<boolean> {
    if (vm.kind === 'plain-service') {
      const state = await backends.service(vm.id, vm.address).state();
      return state.isOk() && !state.value.leaving;
    }
    const state = await backends.engine(vm.id, vm.address).state();
    return state.isOk() && !state.value.leaving && !state.value.busy;
  }

  return {
    acceptsWork(vm) {
      const key = `${vm.id}@${vm.address}`;
      const cached = cache.get(key);
      const now = clock.now();
      if (cached !== undefined && now - cached.askedAt < CACHE_TTL_MS) return cached.acceptsWork;
      const acceptsWork = ask(vm);
      cache.set(key, { askedAt: now, acceptsWork });
      return acceptsWork;
    },
  };
}
