/**
 * Calls to engines that wait for the rest that these have asked for.
 */
import { Err } from 'ts-results-es';
import type { Backpressure } from '../backpressure/index.js';
import type { RoleOrders } from '../roles/index.js';
import type { CacheLists } from '../scheduling/index.js';

const RESTING = 'the engine has asked for rest';

/** Calls to engines. */
export interface EngineCalls {
  roleOrders: RoleOrders;
  caches: CacheLists;
}

/**
 * Makes calls only to engines that don't rest.
 *
 * @param calls the platform's
 * @param backpressure knows which engines rest
 */
export function createEngineCalls(
  { roleOrders, caches }: EngineCalls,
  backpressure: Pick<Backpressure, 'msUntilRested'>,
): EngineCalls {
  function isResting(id: string): boolean {
    return backpressure.msUntilRested(id) > 0;
  }

  return {
    roleOrders: {
      async state(server) {
        return isResting(server.id) ? Err(RESTING) : roleOrders.state(server);
      },
      async order(server, order) {
        if (isResting(server.id)) return { kind: 'refused', status: 0 };
        return roleOrders.order(server, order);
      },
    },
    caches: {
      async list(server) {
        return isResting(server.id) ? Err(RESTING) : caches.list(server);
      },
    },
  };
}
