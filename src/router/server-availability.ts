/**
 * A server's own word on whether it takes new work, for a router that chooses without a holder. The
 * holder's word may be missing just then; the server itself is asked, at most once in a short time.
 */
import type { Vm } from '../ports/index.js';
import type { Clock } from '../task/index.js';
import type { Backends } from './backend.js';

/** A word is relied on for this long, in milliseconds. */
const KEPT_MS = 1_000;

/** What servers say of themselves. */
export interface ServerAvailability {
  /** Whether a server answers and neither leaves nor carries out an order. */
  acceptsWork(vm: Vm): Promise<boolean>;
}

interface Word {
  askedAt: number;
  takesWork: Promise<boolean>;
}

/**
 * Creates a memory of words, empty at first.
 *
 * @param clock the node's clock
 * @param backends the ways to servers
 */
export function createServerAvailability(clock: Clock, backends: Backends): ServerAvailability {
  const words = new Map<string, Word>();

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
      const known = words.get(key);
      const now = clock.now();
      if (known !== undefined && now - known.askedAt < KEPT_MS) return known.takesWork;
      const takesWork = ask(vm);
      words.set(key, { askedAt: now, takesWork });
      return takesWork;
    },
  };
}
