/**
 * The rest of the platform for one process: the object store and the lagging list of VMs.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createRefusal, type Failure } from '../../../src/errors/index.js';
import type { ObjectStore, Vm, VmList, WeightStore } from '../../../src/ports/index.js';
import type { StepWatch } from '../step-watch.js';
import type { Network } from './network.js';
import type { FakeProcess } from './process.js';
import { TABLE } from './table.js';

const TIMEOUT_MS = 1_000;

/** The objects of a run, shared by its processes. */
export type StoredObjects = Map<string, Uint8Array>;

/** The platform's list of VMs. */
export interface FakeVms {
  vms: Vm[];
  /** What the list shows; behind `vms` while it is stale. */
  shown(): Vm[];
  setStale(isStale: boolean): void;
}

/**
 * Creates a list that shows the truth.
 *
 * @param vms the VMs
 */
export function createFakeVms(vms: Vm[]): FakeVms {
  let frozen: Vm[] | undefined;
  const list: FakeVms = {
    vms,
    shown: () => structuredClone(frozen ?? list.vms),
    setStale(isStale) {
      frozen = isStale ? structuredClone(list.vms) : undefined;
    },
  };
  return list;
}

/**
 * Creates a process's port to the list.
 *
 * @param from the process
 * @param vms the list
 * @param network the network
 * @param watch who watches the steps
 */
export function createVmListPort(
  from: FakeProcess,
  vms: FakeVms,
  network: Network,
  watch: StepWatch,
): VmList {
  return {
    list() {
      watch.reach('membership.list', from);
      return network.call<Result<Vm[], Failure>>({
        from,
        to: TABLE,
        timeoutMs: TIMEOUT_MS,
        effect: () => {
          watch.reachAfter('membership.list', from);
          return Ok(vms.shown());
        },
        lost: () => Err(unavailable('membership.list')),
      });
    },
  };
}

/**
 * Creates a process's port to the object store.
 *
 * @param from the process
 * @param objects the stored objects
 * @param network the network
 */
export function createObjectStorePort(
  from: FakeProcess,
  objects: StoredObjects,
  network: Network,
): ObjectStore {
  function call<Value>(effect: () => Value): Promise<Result<Value, Failure>> {
    return network.call<Result<Value, Failure>>({
      from,
      to: TABLE,
      timeoutMs: TIMEOUT_MS,
      effect: () => Ok(effect()),
      lost: () => Err(unavailable('claim.settle')),
    });
  }
  return {
    put: (key, bytes) =>
      call(() => {
        objects.set(key, bytes);
      }),
    get: (key) => call(() => objects.get(key)),
    delete: (key) =>
      call(() => {
        objects.delete(key);
      }),
  };
}

function unavailable(step: 'membership.list' | 'claim.settle' | 'load.pace'): Failure {
  const message = 'the platform did not answer';
  return createRefusal({ code: 'object-store-unavailable', message, step, peer: TABLE });
}

/**
 * Creates a process's port to the weight store, which grants every load.
 *
 * @param from the process
 * @param network the network
 * @param watch who watches the steps
 */
export function createWeightStorePort(
  from: FakeProcess,
  network: Network,
  watch: StepWatch,
): WeightStore {
  return {
    requestTicket(model) {
      watch.reach('load.pace', from);
      return network.call<Result<string, Failure>>({
        from,
        to: TABLE,
        timeoutMs: TIMEOUT_MS,
        effect: () => {
          watch.reachAfter('load.pace', from);
          return Ok(`ticket for ${model}`);
        },
        lost: () => Err(unavailable('load.pace')),
      });
    },
  };
}
