/**
 * Calls to engines that wait for the pauses that these have asked for.
 */
import { Err } from 'ts-results-es';
import type { Backpressure } from '../backpressure/index.js';
import type { RoleOrders } from '../roles/index.js';
import type { CacheLists } from '../scheduling/index.js';

const PAUSED = 'the engine has asked for a pause';

/** Calls to engines. */
export interface EngineCalls {
  roleOrders: RoleOrders;
  caches: CacheLists;
}

/**
 * Makes calls only to engines that haven't asked for a pause.
 *
 * @param calls the platform's
 * @param backpressure knows which engines asked for a pause
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
