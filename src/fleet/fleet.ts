/**
 * The backend servers that a gateway knows. Changes come from the registry or from peers, in any
 * order and more than once; each entry only moves forward by its revision.
 *
 * While the registry's store is away, entries of live servers may lapse. The removal of an entry that
 * was last written before the outage therefore takes effect only if the entry has not returned by the
 * end of a grace period after it. An entry that was written since has not lapsed: its removal holds.
 *
 * A store that is restored from an older copy has entries of servers that have left since, and lacks those of servers
 * that came since. What was seen to leave stays gone, or leaving, until its server writes again; what is missing counts
 * as lapsed.
 *
 * Entries go by their names, servers by their incarnations: one that starts again under its name is
 * another server, and the one before has left.
 */
import type { Log } from '../events/index.js';
import { resolveEra } from '../ports/position.js';
import type { Clock } from '../task/index.js';
import {
  resolveServerName,
  type RegisteredServer,
  type RegistryChange,
  type UnusableEntry,
} from './server.js';

/** Time within which a removed entry may return once the store is back, in ms: the two seconds that the platform
 * promises, and the delay of a change in the store. */
const RETURN_GRACE_MS = 2_200;

/** Retention of removals for peers that missed them, in ms; longer than any interval between messages of a live
 * peer. */
const REMOVAL_MEMORY_MS = 60_000;

/** Retention of incarnations that leave, in ms, whether or not they have an entry: an entry may lapse and return, and
 * peers report servers before the registry does. */
const RETIRED_MEMORY_MS = 10 * 60_000;

/** Where a change was learnt from. */
export type FleetSource = 'store' | 'peer' | 'server';

/** What a gateway knows of the fleet. */
export interface Fleet {
  /** Newest revision taken in. */
  revision(): number;
  /** Time since the registry or a peer last told anything, in milliseconds; infinite before. */
  ageMs(): number;
  /** Takes a change in if it is newer than what is known of its server. */
  learn(change: RegistryChange, source: FleetSource): void;
  /**
   * Takes in the whole registry: what it lacks is gone.
   *
   * @param changes every entry
   * @param revision the registry's revision as of the read
   */
  replace(changes: readonly RegistryChange[], revision: number): void;
  /** All changes up to a revision are known. */
  reach(revision: number): void;
  /** A server said itself that it is not the incarnation asked for, or that it leaves. */
  retire(id: string, reason: string): void;
  /** The store is away; entries may lapse from now on. */
  storeLost(): void;
  /** The store answers again after an outage. */
  storeReturned(): void;
  find(id: string): RegisteredServer | undefined;
  /** The incarnation, or the version, that has taken a server's place under its name. */
  successorOf(server: RegisteredServer): RegisteredServer | undefined;
  /** Whether a server takes new requests. */
  isAvailable(id: string): boolean;
  /** Servers of a service, whether or not they take new requests. */
  registered(service: string): Iterable<RegisteredServer>;
  /** Servers of a service that take new requests, ordered by id. */
  available(service: string): readonly RegisteredServer[];
  /** Changes after a revision, for a peer that is behind. */
  changesAfter(revision: number): RegistryChange[];
}

/**
 * Hears that an incarnation is gone or leaves.
 *
 * @param id the incarnation
 * @param successor the incarnation that has taken its place; absent where it may still finish its work
 */
export type ServerLoss = (id: string, successor?: RegisteredServer) => void;

interface Entry {
  change: RegistryChange;
  learntAt: number;
  isRetired: boolean;
}

/**
 * Creates an empty fleet.
 *
 * @param clock the gateway's clock
 * @param log hears of every change of belief
 * @param left called when a server is gone or leaves, once for each
 * @param becameUnusable hears of each entry that came to name no server to use
 * @param replaced hears of a server as it was, when its entry changes or goes
 */
export function createFleet(
  clock: Clock,
  log: Log,
  left: ServerLoss,
  becameUnusable: (entry: UnusableEntry) => void = () => undefined,
  replaced: (before: RegisteredServer) => void = () => undefined,
): Fleet {
  /** By name. */
  const entries = new Map<string, Entry>();
  /** Names by incarnation; of those that are there. */
  const names = new Map<string, string>();
  const byService = new Map<string, readonly RegisteredServer[]>();
  let newest = 0;
  let heardAt = Number.NEGATIVE_INFINITY;
  /** The store's era when it was last read whole; peers may know of a later one. */
  let readEra: number | undefined;
  let graceUntil = Number.NEGATIVE_INFINITY;
  /** The newest revision when the store was lost; `undefined` while it is not. */
  let lostAtRevision: number | undefined;
  /** Entries of this revision or an older one may have lapsed in the last outage. */
  let lapsedUpTo = 0;
  /** When each incarnation announced that it leaves. */
  const retiredAt = new Map<string, number>();
  /** Removals that wait for the end of the grace period. */
  const lapsed = new Map<string, RegistryChange>();

  function learn(change: RegistryChange, source: FleetSource): void {
    newest = Math.max(newest, change.revision);
    heardAt = clock.now();
    const known = entries.get(change.id);
    const isNewer = known === undefined || known.change.revision < change.revision;
    if (!isNewer && !bringsVersion(change, known.change)) return;
    const isRemoval = change.server === undefined && change.unusable === undefined;
    if (isRemoval && known === undefined) return;
    if (isRemoval && mayReturn(known)) {
      lapsed.set(change.id, change);
      log.write('serverLapsed', {
        server: change.id,
        revision: change.revision,
        before: known?.change.revision,
        waitMs: Math.round(graceUntil - clock.now()),
      });
      return;
    }
    apply(change, known, source);
  }

  /** Whether the removal of an entry may be a lapse. All others apply at once: a server that leaves just after the
   * store's return must get no more requests. */
  function mayReturn(known: Entry | undefined): boolean {
    if (known === undefined || clock.now() >= graceUntil) return false;
    return known.change.revision <= lapsedUpTo;
  }

  function startGrace(upTo: number): void {
    graceUntil = clock.now() + RETURN_GRACE_MS;
    lapsedUpTo = upTo;
    lostAtRevision = undefined;
    clock.after(RETURN_GRACE_MS, endGrace);
  }

  /** Whether an entry of an older copy brings back a server that was seen to leave since. */
  function isUndone({ id, server }: RegistryChange): boolean {
    const known = entries.get(id);
    if (known === undefined || server === undefined) return false;
    const before = known.change.server;
    if (before === undefined) return known.change.unusable === undefined;
    return before.id === server.id && before.isLeaving && !server.isLeaving;
  }

  /** Takes out what has not returned; while the store is away again, nothing could have. */
  function endGrace(): void {
    if (lostAtRevision !== undefined) return;
    for (const [name, change] of lapsed) {
      const known = entries.get(name);
      if (known !== undefined && known.change.revision < change.revision) {
        apply(change, known, 'store');
      }
    }
    lapsed.clear();
  }

  function apply(change: RegistryChange, known: Entry | undefined, source: FleetSource): void {
    const { server } = change;
    const before = known?.change.server;
    const isSame = before !== undefined && before.id === server?.id;
    entries.set(change.id, {
      change,
      learntAt: clock.now(),
      isRetired: server !== undefined && retiredAt.has(server.id),
    });
    if (before !== undefined) {
      names.delete(before.id);
      replaced(before);
    }
    if (server !== undefined) names.set(server.id, change.id);
    byService.clear();
    note(change, known?.change, source);
    const wasAvailable = known !== undefined && isAvailable(known);
    const hasRestarted = before !== undefined && server !== undefined && !isSame;
    if (hasRestarted) left(before.id, server);
    else if (wasAvailable && server?.isLeaving !== false) left(before?.id ?? change.id);
    forgetOld();
  }

  /** Logs a change; an entry that stays unusable is logged once, however often it is written. */
  function note(
    change: RegistryChange,
    known: RegistryChange | undefined,
    source: FleetSource,
  ): void {
    const { id, revision, server, unusable } = change;
    if (unusable !== undefined) {
      if (known?.unusable?.issues === unusable.issues) return;
      log.write('serverUnreadable', { server: id, revision, source, ...unusable });
      becameUnusable(unusable);
      return;
    }
    log.write('serverChanged', {
      server: id,
      revision,
      source,
      state: describeState(server),
      bornAtMs: server?.bornAtMs,
      bornAtMsBefore: known?.server?.bornAtMs,
      service: server?.service ?? known?.server?.service,
      role: server?.role,
      version: server?.version,
      address: server?.address,
    });
  }

  function forgetOld(): void {
    for (const [id, at] of retiredAt) {
      if (!names.has(id) && at < clock.now() - RETIRED_MEMORY_MS) retiredAt.delete(id);
    }
    const before = clock.now() - REMOVAL_MEMORY_MS;
    for (const [name, entry] of entries) {
      if (entry.change.server === undefined && entry.learntAt < before) entries.delete(name);
    }
  }

  function findEntry(id: string): Entry | undefined {
    const name = names.get(id);
    return name === undefined ? undefined : entries.get(name);
  }

  return {
    revision: () => newest,
    ageMs: () => clock.now() - heardAt,
    learn,
    reach(revision) {
      heardAt = clock.now();
      newest = Math.max(newest, revision);
    },
    replace(changes, revision) {
      const era = resolveEra(revision);
      const isRestored = readEra !== undefined && era > readEra;
      readEra = era;
      if (isRestored) startGrace(newest);
      const present = new Set<string>();
      for (const change of changes) {
        present.add(change.id);
        if (!isRestored || !isUndone(change)) learn(change, 'store');
      }
      for (const [name, entry] of entries) {
        if (present.has(name) || entry.change.server === undefined) continue;
        if (entry.change.revision > revision) continue;
        learn({ id: name, revision, server: undefined }, 'store');
      }
      newest = Math.max(newest, revision);
      heardAt = clock.now();
    },
    retire(id, reason) {
      const entry = findEntry(id);
      retiredAt.set(id, clock.now());
      if (entry === undefined || entry.isRetired) return;
      entry.isRetired = true;
      byService.clear();
      log.write('serverRetired', { server: id, reason, revision: entry.change.revision });
      left(id);
    },
    storeLost() {
      lostAtRevision = newest;
    },
    storeReturned() {
      startGrace(lostAtRevision ?? newest);
    },
    find: (id) => findEntry(id)?.change.server,
    successorOf(server) {
      const current = entries.get(resolveServerName(server))?.change.server;
      const isSame = current?.id === server.id && current.version === server.version;
      return isSame ? undefined : current;
    },
    isAvailable(id) {
      const entry = findEntry(id);
      return entry !== undefined && isAvailable(entry);
    },
    *registered(service) {
      for (const { change } of entries.values()) {
        if (change.server?.service === service) yield change.server;
      }
    },
    available(service) {
      const known = byService.get(service);
      if (known !== undefined) return known;
      const found = listAvailable(entries.values(), service);
      byService.set(service, found);
      return found;
    },
    changesAfter(revision) {
      const found: RegistryChange[] = [];
      for (const [name, { change }] of entries) {
        // a peer that is told this revision asks for nothing up to it again: a removal that is left out here
        // would never reach it, and it would send requests to a server that has left
        const removal = lapsed.get(name);
        const isRemoved = removal !== undefined && removal.revision > change.revision;
        const latest = isRemoved ? removal : change;
        if (latest.revision > revision) found.push(latest);
      }
      return found;
    },
  };
}

/** Whether an entry is known without the software version, from a peer of an earlier release, and a change has it. */
function bringsVersion(change: RegistryChange, known: RegistryChange): boolean {
  if (change.revision !== known.revision || known.server === undefined) return false;
  return known.server.version === undefined && change.server?.version !== undefined;
}

function isAvailable(entry: Entry): boolean {
  const { server } = entry.change;
  return server !== undefined && !server.isLeaving && !entry.isRetired;
}

function listAvailable(entries: Iterable<Entry>, service: string): RegisteredServer[] {
  const found: RegisteredServer[] = [];
  for (const entry of entries) {
    const { server } = entry.change;
    if (server?.service === service && isAvailable(entry)) found.push(server);
  }
  return found.sort((left, right) => (left.id < right.id ? -1 : 1));
}

function describeState(server: RegisteredServer | undefined): string {
  if (server === undefined) return 'gone';
  return server.isLeaving ? 'leaving' : 'ready';
}
