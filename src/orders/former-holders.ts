/**
 * Proof that a former holder can send no order any more. A lease that is over proves nothing: its
 * holder may be paused between its check and its write. What proves it:
 *
 * - it is this very process, and no sending of it is under way;
 * - it gave the shard or its lease back, which it does only after its sendings have ended;
 * - a newer process under its name holds a lease from the same peer address, where only one process
 *   can listen, so the older one has ended;
 * - its VM was listed, and a list read at least the list's lag after that has it no more;
 * - an operator said so, up to a fencing number.
 *
 * Bytes that such a process sent before it ended may still lie in the engine's own buffers. They
 * hold an order that was journalled, and its successor has seen the engine take that order by its id
 * before it gives another, so the copy changes nothing; a restart of the engine discards them.
 */
import type { LeaseHolder, NodeRow } from '../lease/index.js';
import type { Vm, VmList } from '../ports/index.js';
import type { Clock } from '../task/index.js';
import type { EngineRow, FormerHolder } from './rows.js';

const WILDCARD_HOSTS = new Set(['0.0.0.0', '[::]', '::', '']);
/** VMs that were listed so long ago are forgotten. */
const VM_KEPT_MS = 86_400_000;

/** What proofs rest on. */
export interface FormerHoldersParts {
  clock: Clock;
  /** This process's incarnation. */
  incarnation: string;
  /** How old the platform's list may be when it is read, in milliseconds. */
  listLagMs: number;
  vmList: VmList;
  /** The lease row of a node; `undefined` when it cannot be read or is absent. */
  readNodeRow(node: string): Promise<NodeRow | undefined>;
  /** Up to which fencing number an operator settled an engine's orders; 0 when never. */
  ordersSettled(engine: string): number;
}

/** Knows which former holders can send nothing any more. */
export interface FormerHolders {
  /** The platform's list changed; until now it was as last told. */
  updateVmList(vms: readonly Vm[]): void;
  /** A holder gave a shard back. */
  releaseReceived(holder: LeaseHolder): void;
  /** Runs a sending of this process, and counts it as under way until it has ended. */
  trackSend<Value>(engine: string, send: () => Promise<Value>): Promise<Value>;
  /** Resolves once no sending of this process is under way. */
  waitForSends(): Promise<void>;
  /** Whether a holder provably sends no order to an engine any more. */
  isCleared(engine: string, former: FormerHolder): Promise<boolean>;
}

/**
 * Creates the proofs of one process.
 *
 * @param parts what they rest on
 */
export function createFormerHolders(parts: FormerHoldersParts): FormerHolders {
  const { clock } = parts;
  const sendings = new Map<Promise<unknown>, string>();
  const released = new Set<string>();
  const lastListed = new Map<string, number>();
  let listedNow = new Set<string>();

  function isSending(engine: string): boolean {
    for (const sending of sendings.values()) {
      if (sending === engine) return true;
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

  function forgetOldVms(now: number): void {
    for (const [address, seenAt] of lastListed) {
      if (now - seenAt > VM_KEPT_MS) lastListed.delete(address);
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
      forgetOldVms(now);
    },
    releaseReceived(holder) {
      released.add(holder.leaseId);
    },
    async trackSend(engine, send) {
      const sending = send();
      sendings.set(sending, engine);
      try {
        return await sending;
      } finally {
        sendings.delete(sending);
      }
    },
    async waitForSends() {
      await Promise.allSettled([...sendings.keys()]);
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
 * Whether a node's row proves that a former holder under its name sends nothing any more.
 *
 * @param row the node's row as it is now
 * @param former the holder in question
 */
export function provesTermination(row: NodeRow, former: LeaseHolder): boolean {
  const { holder, state } = row;
  if (holder.incarnation === former.incarnation) return state === 'released';
  return holder.peer === former.peer && isExclusive(former.peer);
}

/** Whether only one process at a time can listen at an address: it names one host and one port. */
function isExclusive(address: string): boolean {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return separator > 0 && !WILDCARD_HOSTS.has(host) && port > 0;
}

/**
 * Whether all other leases that may have sent an engine an order are cleared.
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
 * The leases other than one's own under which an engine may have been sent an order.
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
