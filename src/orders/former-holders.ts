/**
 * Proves that a former holder can no longer send orders. An expired lease is no proof: its holder
 * may be paused between the check of its lease and its write. Proofs are:
 *
 * - the holder is this process, and it has no send in flight;
 * - the holder released the shard or its lease, which it does only after its sends have ended;
 * - a newer process under its name holds a lease from the same peer address, at which only one
 *   process can listen, so the older one has exited;
 * - its VM was listed, and a list read at least the list's lag later no longer contains it;
 * - an operator confirmed it, up to a fencing number.
 *
 * Bytes that such a process sent before it exited may remain in the engine's receive buffers. They
 * hold a journalled order, and the successor sends a different one only after the engine has taken
 * that order, known by its id. So the copy changes nothing; a restart of the engine discards it.
 */
import type { LeaseHolder, NodeRow } from '../lease/index.js';
import type { Vm, VmList } from '../ports/index.js';
import type { Clock } from '../task/index.js';
import type { EngineRow, FormerHolder } from './rows.js';

const WILDCARD_HOSTS = new Set(['0.0.0.0', '[::]', '::', '']);
/** Retention of the time at which a VM was last listed. */
const VM_RETENTION_MS = 86_400_000;

/** Dependencies of the proofs about former holders. */
export interface FormerHoldersParts {
  clock: Clock;
  /** This process's incarnation. */
  incarnation: string;
  /** Greatest age of the platform's VM list when it is read, in milliseconds. */
  listLagMs: number;
  vmList: VmList;
  /** The lease row of a node; `undefined` if absent or unreadable. */
  readNodeRow(node: string): Promise<NodeRow | undefined>;
  /** Highest fencing number up to which an operator settled an engine's orders; 0 for none. */
  ordersSettled(engine: string): number;
}

/** Tells which former holders can no longer send orders. */
export interface FormerHolders {
  /** Replaces the VM list; the previous one counts as current until now. */
  updateVmList(vms: readonly Vm[]): void;
  /** A holder released a shard. */
  releaseReceived(holder: LeaseHolder): void;
  /** Runs a send of this process and counts it as in flight until it has ended. */
  trackSend<Value>(engine: string, send: () => Promise<Value>): Promise<Value>;
  /** Resolves once the sends that are in flight now have ended. */
  waitForSends(): Promise<void>;
  /** Whether a holder provably can no longer send orders to an engine. */
  isCleared(engine: string, former: FormerHolder): Promise<boolean>;
}

/**
 * Creates the proofs of one process.
 *
 * @param parts the process, the platform's list and the lease rows
 */
export function createFormerHolders(parts: FormerHoldersParts): FormerHolders {
  const { clock } = parts;
  const sends = new Map<Promise<unknown>, string>();
  const released = new Set<string>();
  const lastListed = new Map<string, number>();
  let listedNow = new Set<string>();

  function isSending(engine: string): boolean {
    for (const receiver of sends.values()) {
      if (receiver === engine) return true;
    }
    return false;
  }

  async function isVmGone(peer: string): Promise<boolean> {
    const seenAt = lastListed.get(peer);
    if (seenAt === undefined || listedNow.has(peer)) return false;
    if (clock.now() - seenAt < parts.listLagMs) return false;
    const read = await parts.vmList.list();
    return read.isOk() && !listEntryAddresses(read.value).has(peer);
  }

  function evictOldVms(now: number): void {
    for (const [address, seenAt] of lastListed) {
      if (now - seenAt > VM_RETENTION_MS) lastListed.delete(address);
    }
  }

  return {
    updateVmList(vms) {
      const now = clock.now();
      const listed = listEntryAddresses(vms);
      for (const address of [...listedNow, ...listed]) {
        lastListed.set(address, now);
      }
      listedNow = listed;
      evictOldVms(now);
    },
    releaseReceived(holder) {
      released.add(holder.leaseId);
    },
    async trackSend(engine, send) {
      const sent = send();
      sends.set(sent, engine);
      try {
        return await sent;
      } finally {
        sends.delete(sent);
      }
    },
    async waitForSends() {
      await Promise.allSettled([...sends.keys()]);
    },
    async isCleared(engine, { holder, fence }) {
      if (parts.ordersSettled(engine) >= fence) return true;
      if (holder.incarnation === parts.incarnation) return !isSending(engine);
      if (released.has(holder.leaseId)) return true;
      const row = await parts.readNodeRow(holder.node);
      if (row !== undefined && provesTermination(row, holder)) return true;
      return isVmGone(holder.peer);
    },
  };
}

function listEntryAddresses(vms: readonly Vm[]): Set<string> {
  const addresses = new Set<string>();
  for (const vm of vms) {
    if (vm.kind === 'entry') addresses.add(vm.address);
  }
  return addresses;
}

/**
 * Whether a node's row proves that a former holder under its name can no longer send orders.
 *
 * @param row the node's present row
 * @param former the former holder
 */
export function provesTermination(row: NodeRow, former: LeaseHolder): boolean {
  const { holder, state } = row;
  if (holder.incarnation === former.incarnation) return state === 'released';
  return holder.peer === former.peer && isExclusive(former.peer);
}

/** Whether an address names one host and one port, at which only one process can listen. */
function isExclusive(address: string): boolean {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return separator > 0 && !WILDCARD_HOSTS.has(host) && port > 0;
}

/**
 * Whether every other holder that may have sent the engine an order can no longer do so.
 *
 * @param formers the proofs
 * @param engine the engine's id
 * @param row its journal
 * @param own the lease under which this process holds the engine's shard
 */
export async function areOthersCleared(
  formers: Pick<FormerHolders, 'isCleared'>,
  engine: string,
  row: EngineRow,
  own: LeaseHolder,
): Promise<boolean> {
  for (const former of listOthers(row, own)) {
    if (!(await formers.isCleared(engine, former))) return false;
  }
  return true;
}

/**
 * Lists the holders, other than the own lease, that may have sent the engine an order.
 *
 * @param row the engine's journal
 * @param own the lease under which this process holds the engine's shard
 */
export function listOthers(row: EngineRow, own: LeaseHolder): FormerHolder[] {
  const others: FormerHolder[] = [];
  for (const former of row.formers) {
    if (former.holder.leaseId !== own.leaseId) others.push(former);
  }
  const { order } = row;
  const last = order?.by ?? undefined;
  if (order === null || last === undefined || last.leaseId === own.leaseId) return others;
  if (others.some(({ holder }) => holder.leaseId === last.leaseId)) return others;
  others.push({ holder: last, fence: order.fence });
  return others;
}
