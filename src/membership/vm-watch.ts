/**
 * The task that keeps the platform's list of VMs. All nodes together read it about as often as few
 * nodes would: each reads less often the more there are. Whoever finds a change tells its partners
 * the digest of the new list, and a node that has another list asks for the difference.
 */
import { createHash } from 'node:crypto';
import type { VmsDifference } from '../links/index.js';
import type { Log } from '../events/index.js';
import type { Vm, VmList } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';

/** With more nodes than this, each reads less often. */
const READERS = 16;
/** Lists that are kept, to tell differences from. */
const KEPT_LISTS = 4;
/** A list that was replaced is not taken back from a peer for this long. */
const REPLACED_MS = 10_000;

/** What the watch needs. */
export interface VmWatchParts {
  vmList: VmList;
  clock: Clock;
  log: Log;
  /** Time between two reads when there are few nodes, in milliseconds. */
  everyMs: number;
  countNodes(): number;
  /** The list changed. */
  listed(vms: readonly Vm[]): void;
  /** Tells partners of a new list; `from` knows it already. */
  tell(digest: string, from: string | undefined): void;
  /** Asks a peer how its list differs from the one with this digest. */
  fetch(peer: string, digest: string): Promise<VmsDifference | undefined>;
}

/** The watch over the platform's list. */
export interface VmWatch {
  start(): Promise<void>;
  stop(): void;
  /** The list as last read or heard. */
  vms(): readonly Vm[];
  digest(): string;
  /** A peer goes by the list with this digest. */
  heard(peer: string, digest: string): void;
  /** How the list differs from an earlier one. */
  differenceSince(digest: string): VmsDifference;
}

interface List {
  digest: string;
  vms: readonly Vm[];
  replacedAt: number;
}

/**
 * Creates the watch.
 *
 * @param parts the list, the clock and who hears of changes
 */
export function createVmWatch(parts: VmWatchParts): VmWatch {
  const { clock, log } = parts;
  const lists: List[] = [];
  let timer: Timer | undefined;
  let fetching = false;
  let heardMeanwhile: { peer: string; digest: string } | undefined;
  let stopped = false;

  function current(): List | undefined {
    return lists.at(-1);
  }

  function put(vms: readonly Vm[], digest: string, from?: string): void {
    const former = current();
    if (former?.digest === digest) return;
    if (former !== undefined) former.replacedAt = clock.now();
    lists.push({ digest, vms, replacedAt: Number.POSITIVE_INFINITY });
    if (lists.length > KEPT_LISTS) lists.shift();
    parts.listed(vms);
    parts.tell(digest, from);
  }

  async function read(): Promise<void> {
    const listed = await parts.vmList.list();
    if (stopped) return;
    if (listed.isErr()) {
      log.write('vmListUnavailable', { failure: listed.error });
      return;
    }
    const vms = [...listed.value];
    vms.sort((left, right) => left.id.localeCompare(right.id));
    put(vms, resolveDigest(vms));
  }

  function schedule(): void {
    if (stopped) return;
    const delayMs = parts.everyMs * Math.max(1, parts.countNodes() / READERS);
    timer = clock.after(delayMs, () => {
      void read().then(schedule);
    });
  }

  function wasReplacedLately(digest: string): boolean {
    const since = clock.now() - REPLACED_MS;
    return lists.some((list) => list.digest === digest && list.replacedAt > since);
  }

  async function fetchFrom(peer: string): Promise<void> {
    const base = current();
    const difference = await parts.fetch(peer, base?.digest ?? '');
    if (difference === undefined || stopped || current() !== base) return;
    put(applyDifference(base?.vms ?? [], difference), difference.digest, peer);
  }

  function heard(peer: string, digest: string): void {
    if (stopped || digest === '' || current()?.digest === digest) return;
    if (wasReplacedLately(digest)) return;
    if (fetching) {
      heardMeanwhile = { peer, digest };
      return;
    }
    fetching = true;
    void fetchFrom(peer).finally(() => {
      fetching = false;
      const next = heardMeanwhile;
      heardMeanwhile = undefined;
      if (next !== undefined) heard(next.peer, next.digest);
    });
  }

  return {
    async start() {
      await read();
      schedule();
    },
    stop() {
      stopped = true;
      timer?.cancel();
    },
    vms: () => current()?.vms ?? [],
    digest: () => current()?.digest ?? '',
    heard,
    differenceSince(digest) {
      const base = lists.find((list) => list.digest === digest);
      const newest = current();
      return resolveDifference(base?.vms, newest?.vms ?? [], newest?.digest ?? '');
    },
  };
}

function resolveDigest(vms: readonly Vm[]): string {
  return createHash('sha1').update(JSON.stringify(vms)).digest('base64');
}

function resolveDifference(
  base: readonly Vm[] | undefined,
  vms: readonly Vm[],
  digest: string,
): VmsDifference {
  const kind = 'vms.difference' as const;
  if (base === undefined) return { kind, digest, whole: true, put: [...vms], removed: [] };
  const former = new Map<string, string>();
  for (const vm of base) {
    former.set(vm.id, JSON.stringify(vm));
  }
  const put: Vm[] = [];
  for (const vm of vms) {
    if (former.get(vm.id) !== JSON.stringify(vm)) put.push(vm);
    former.delete(vm.id);
  }
  return { kind, digest, whole: false, put, removed: [...former.keys()] };
}

function applyDifference(base: readonly Vm[], difference: VmsDifference): Vm[] {
  if (difference.whole) return difference.put;
  const byId = new Map<string, Vm>();
  for (const vm of base) {
    byId.set(vm.id, vm);
  }
  for (const id of difference.removed) {
    byId.delete(id);
  }
  for (const vm of difference.put) {
    byId.set(vm.id, vm);
  }
  return [...byId.values()];
}
