/**
 * Calls to engines that are refused locally while the engine has requested a pause (`Retry-After`).
 */
import { Err } from 'ts-results-es';
import type { Backpressure } from '../backpressure/index.js';
import type { RoleOrders } from '../roles/index.js';
import type { CacheInventory } from '../scheduling/index.js';

const PAUSED = 'the engine has requested a pause';

/** Calls to engines. */
export interface EngineCalls {
  roleOrders: RoleOrders;
  caches: CacheInventory;
}

/**
 * Wraps calls so that paused engines are not called.
 *
 * @param calls the platform's calls
 * @param backpressure tells which engines are paused
 */
export function createPauseAwareCalls(
  { roleOrders, caches }: EngineCalls,
  backpressure: Pick<Backpressure, 'msUntilResumed'>,
): EngineCalls {
  function isPaused(id: string): boolean {
    return backpressure.msUntilResumed(id) > 0;
  }

  return {
    roleOrders: {
      async state(server) {
        return isPaused(server.id) ? Err(PAUSED) : roleOrders.state(server);
      },
      async order(server, order) {
        if (isPaused(server.id)) return { kind: 'refused', status: 0 };
        return roleOrders.order(server, order);
      },
    },
    caches: {
      async list(server) {
        return isPaused(server.id) ? Err(PAUSED) : caches.list(server);
      },
    },
  };
}
