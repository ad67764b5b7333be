/**
 * The configuration at one version, as an immutable value. A new version shares every collection
 * that its changes do not touch and copies the others once for a whole list of changes: readers
 * never see half a change and need no lock, and one change at 6,000 teams costs the copy of a few
 * maps, which is small beside a table transaction and happens a few times a minute at most. A
 * mutable store with versioned views would save that copy, but every reader would have to be
 * trusted not to hold on to a view.
 */
import { match } from 'ts-pattern';
import type {
  Binding,
  Change,
  EngineGroup,
  RequestClass,
  StoredObject,
  Team,
  VmLabels,
} from './objects.js';

/** The configuration at one version; objects by name. */
export interface ConfigurationSnapshot {
  /** Number of the last change in it; 0 for the empty configuration. */
  readonly version: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly classes: ReadonlyMap<string, RequestClass>;
  readonly groups: ReadonlyMap<string, EngineGroup>;
  readonly bindings: ReadonlyMap<string, Binding>;
  /** Operators' labels on VMs, by VM id. */
  readonly vms: ReadonlyMap<string, VmLabels>;
  /** The team that each API key belongs to, by the key's SHA-256 in hexadecimal. */
  readonly teamsByKeyHash: ReadonlyMap<string, Team>;
  /** The last change of each object that exists, by `resolveObjectId`. */
  readonly changes: ReadonlyMap<string, Change>;
}

/** Every kind of stored object. */
export type StoredKind = StoredObject['kind'];

/** Kind and name of an object. */
export interface ObjectReference {
  kind: StoredKind;
  name: string;
}

/** The configuration before the first change. */
export const emptySnapshot: ConfigurationSnapshot = {
  version: 0,
  teams: new Map(),
  classes: new Map(),
  groups: new Map(),
  bindings: new Map(),
  vms: new Map(),
  teamsByKeyHash: new Map(),
  changes: new Map(),
};

/**
 * The identity of an object over all kinds, as `team/workshop`.
 *
 * @param reference the object's kind and name
 */
export function resolveObjectId(reference: ObjectReference): string {
  return `${reference.kind}/${reference.name}`;
}

/**
 * Applies one change.
 *
 * @param snapshot the configuration before it; stays as it is
 * @param change the change
 */
export function applyChange(
  snapshot: ConfigurationSnapshot,
  change: Change,
): ConfigurationSnapshot {
  return applyChanges(snapshot, [change]);
}

/**
 * Applies changes in the order given. Touched collections are copied once for the whole list.
 *
 * @param snapshot the configuration before them; stays as it is
 * @param changes the changes, the oldest first
 */
export function applyChanges(
  snapshot: ConfigurationSnapshot,
  changes: readonly Change[],
): ConfigurationSnapshot {
  const draft = createDraft(snapshot);
  for (const change of changes) applyToDraft(draft, change);
  return finishDraft(draft);
}

/**
 * Builds the configuration of a version from the last change of each object that exists in it.
 *
 * @param changes the last change of each object
 * @param version the version that they add up to
 */
export function createSnapshot(changes: readonly Change[], version: number): ConfigurationSnapshot {
  return { ...applyChanges(emptySnapshot, changes), version };
}

/**
 * Gives the changes that follow a version without a gap.
 *
 * @param version the version in force
 * @param changes changes in any order, known ones among them
 * @returns the changes that may be applied now, in order; empty when the next one is missing
 */
export function selectNext(version: number, changes: readonly Change[]): Change[] {
  const ordered = [...changes].sort((left, right) => left.version - right.version);
  const next: Change[] = [];
  for (const change of ordered) {
    const wanted = version + next.length + 1;
    if (change.version > wanted) break;
    if (change.version === wanted) next.push(change);
  }
  return next;
}

interface Collection<Value> {
  get(name: string): Value | undefined;
  put(name: string, value: Value): void;
  remove(name: string): void;
  finish(): ReadonlyMap<string, Value>;
}

interface Draft {
  version: number;
  teams: Collection<Team>;
  classes: Collection<RequestClass>;
  groups: Collection<EngineGroup>;
  bindings: Collection<Binding>;
  vms: Collection<VmLabels>;
  teamsByKeyHash: Collection<Team>;
  changes: Collection<Change>;
}

function createCollection<Value>(base: ReadonlyMap<string, Value>): Collection<Value> {
  let copy: Map<string, Value> | undefined;
  const write = (): Map<string, Value> => (copy ??= new Map(base));
  return {
    get: (name) => (copy ?? base).get(name),
    put: (name, value) => {
      write().set(name, value);
    },
    remove: (name) => {
      write().delete(name);
    },
    finish: () => copy ?? base,
  };
}

function createDraft(base: ConfigurationSnapshot): Draft {
  return {
    version: base.version,
    teams: createCollection(base.teams),
    classes: createCollection(base.classes),
    groups: createCollection(base.groups),
    bindings: createCollection(base.bindings),
    vms: createCollection(base.vms),
    teamsByKeyHash: createCollection(base.teamsByKeyHash),
    changes: createCollection(base.changes),
  };
}

function finishDraft(draft: Draft): ConfigurationSnapshot {
  return {
    version: draft.version,
    teams: draft.teams.finish(),
    classes: draft.classes.finish(),
    groups: draft.groups.finish(),
    bindings: draft.bindings.finish(),
    vms: draft.vms.finish(),
    teamsByKeyHash: draft.teamsByKeyHash.finish(),
    changes: draft.changes.finish(),
  };
}

function applyToDraft(draft: Draft, change: Change): void {
  const id = resolveObjectId(change);
  draft.version = change.version;
  if (change.object === null) {
    draft.changes.remove(id);
    removeObject(draft, change);
    return;
  }
  draft.changes.put(id, change);
  putObject(draft, change.object);
}

function putObject(draft: Draft, object: StoredObject): void {
  match(object)
    .with({ kind: 'team' }, (team) => {
      putTeam(draft, team);
    })
    .with({ kind: 'class' }, (requestClass) => {
      draft.classes.put(requestClass.name, requestClass);
    })
    .with({ kind: 'group' }, (group) => {
      draft.groups.put(group.name, group);
    })
    .with({ kind: 'binding' }, (binding) => {
      draft.bindings.put(binding.name, binding);
    })
    .with({ kind: 'vm' }, (vm) => {
      draft.vms.put(vm.name, vm);
    })
    .exhaustive();
}

function removeObject(draft: Draft, { kind, name }: ObjectReference): void {
  match(kind)
    .with('team', () => {
      removeKeyHashes(draft, name);
      draft.teams.remove(name);
    })
    .with('class', () => {
      draft.classes.remove(name);
    })
    .with('group', () => {
      draft.groups.remove(name);
    })
    .with('binding', () => {
      draft.bindings.remove(name);
    })
    .with('vm', () => {
      draft.vms.remove(name);
    })
    .exhaustive();
}

function putTeam(draft: Draft, team: Team): void {
  removeKeyHashes(draft, team.name);
  draft.teams.put(team.name, team);
  for (const hash of team.keyHashes) draft.teamsByKeyHash.put(hash, team);
}

function removeKeyHashes(draft: Draft, name: string): void {
  for (const hash of draft.teams.get(name)?.keyHashes ?? []) {
    if (draft.teamsByKeyHash.get(hash)?.name === name) draft.teamsByKeyHash.remove(hash);
  }
}
