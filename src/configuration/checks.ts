/**
 * Checks of the whole configuration before a change is accepted: what single schemas cannot see.
 */
import * as z from 'zod';
import type { Binding, EngineGroup, Selector, StoredObject, Team } from './objects.js';
import { matchesSelector } from './selectors.js';
import type { ConfigurationSnapshot } from './snapshot.js';

export const findingSchema = z.object({
  /** The object, as `team/workshop`, with the path of the wrong field where there is one. */
  field: z.string(),
  message: z.string(),
});

/** Something that is wrong or suspect in a configuration. */
export type Finding = z.infer<typeof findingSchema>;

/** What the checks found. */
export interface Findings {
  /** Reasons to refuse the change, forced or not. */
  errors: Finding[];
  /** Reasons to refuse the change unless it is forced. */
  forceable: Finding[];
  /** Worth telling the operator. */
  warnings: Finding[];
}

/**
 * Checks a change of the configuration as a whole.
 *
 * @param before the configuration in force
 * @param after the configuration that the change would bring
 * @param changed the objects that the change writes
 */
export function checkChange(
  before: ConfigurationSnapshot,
  after: ConfigurationSnapshot,
  changed: readonly StoredObject[],
): Findings {
  const errors: Finding[] = [];
  const warnings: Finding[] = [];
  for (const object of changed) {
    errors.push(...checkObject(object));
    if (object.kind === 'team') errors.push(...checkKeyHashes(before, changed, object));
    if (object.kind === 'binding') warnings.push(...checkBinding(after, object));
  }
  return { errors, forceable: findStrandedTeams(before, after), warnings };
}

/**
 * Checks one object for what its schema cannot express.
 *
 * @param object the object
 */
export function checkObject(object: StoredObject): Finding[] {
  const path = `${object.kind}/${object.name}`;
  if (object.kind === 'group') {
    return [...checkServed(path, object), ...checkSelector(`${path}.selector`, object.selector)];
  }
  if (object.kind !== 'binding') return [];
  return [
    ...checkSelector(`${path}.teams`, object.teams),
    ...checkSelector(`${path}.classes`, object.classes),
    ...checkSelector(`${path}.groups`, object.groups),
  ];
}

function checkServed(path: string, group: EngineGroup): Finding[] {
  if ((group.model === undefined) !== (group.service === undefined)) return [];
  return [{ field: `${path}.model`, message: 'expected exactly one of "model" and "service"' }];
}

function checkSelector(path: string, selector: Selector): Finding[] {
  const findings: Finding[] = [];
  for (const [index, { operator, values }] of selector.matchExpressions.entries()) {
    const field = `${path}.matchExpressions.${String(index)}.values`;
    const takesValues = operator === 'In' || operator === 'NotIn';
    if (takesValues && values.length === 0) {
      findings.push({ field, message: `expected at least one value for ${operator}` });
    }
    if (!takesValues && values.length > 0) {
      findings.push({ field, message: `expected no values for ${operator}` });
    }
  }
  return findings;
}

function checkKeyHashes(
  before: ConfigurationSnapshot,
  changed: readonly StoredObject[],
  team: Team,
): Finding[] {
  const findings: Finding[] = [];
  for (const [index, hash] of team.keyHashes.entries()) {
    const other = findOtherOwner(before, changed, team.name, hash);
    if (other === undefined) continue;
    const field = `team/${team.name}.keyHashes.${String(index)}`;
    findings.push({ field, message: `the same key belongs to team "${other}"` });
  }
  return findings;
}

function findOtherOwner(
  before: ConfigurationSnapshot,
  changed: readonly StoredObject[],
  name: string,
  hash: string,
): string | undefined {
  for (const object of changed) {
    if (object.kind !== 'team' || object.name === name) continue;
    if (object.keyHashes.includes(hash)) return object.name;
  }
  const owner = before.teamsByKeyHash.get(hash)?.name;
  if (owner === undefined || owner === name) return undefined;
  const rewritten = changed.some((object) => object.kind === 'team' && object.name === owner);
  return rewritten ? undefined : owner;
}

function checkBinding(after: ConfigurationSnapshot, binding: Binding): Finding[] {
  const findings: Finding[] = [];
  const field = `binding/${binding.name}`;
  if (!matchesAny(binding.teams, after.teams)) {
    findings.push({ field: `${field}.teams`, message: 'selects no team at present' });
  }
  if (!matchesAny(binding.classes, after.classes)) {
    findings.push({ field: `${field}.classes`, message: 'selects no request class at present' });
  }
  if (!matchesAny(binding.groups, after.groups)) {
    findings.push({ field: `${field}.groups`, message: 'selects no engine group at present' });
  }
  return findings;
}

function findStrandedTeams(before: ConfigurationSnapshot, after: ConfigurationSnapshot): Finding[] {
  const bindingsBefore = findEffectiveBindings(before);
  const bindingsAfter = findEffectiveBindings(after);
  const bindingsKept = bindingsBefore.every((binding) => bindingsAfter.includes(binding));
  const findings: Finding[] = [];
  for (const team of after.teams.values()) {
    const earlier = before.teams.get(team.name);
    if (earlier === undefined) continue;
    if (bindingsKept && earlier === team) continue;
    if (!isBound(bindingsBefore, earlier) || isBound(bindingsAfter, team)) continue;
    findings.push({ field: `team/${team.name}`, message: 'would be left with nowhere to go' });
  }
  return findings;
}

/** Bindings that lead from at least one class to at least one group. */
function findEffectiveBindings(snapshot: ConfigurationSnapshot): Binding[] {
  const effective: Binding[] = [];
  for (const binding of snapshot.bindings.values()) {
    if (!matchesAny(binding.classes, snapshot.classes)) continue;
    if (matchesAny(binding.groups, snapshot.groups)) effective.push(binding);
  }
  return effective;
}

function isBound(bindings: readonly Binding[], team: Team): boolean {
  return bindings.some((binding) => matchesSelector(binding.teams, team.labels));
}

function matchesAny(
  selector: Selector,
  objects: ReadonlyMap<string, { labels: Record<string, string> }>,
): boolean {
  for (const { labels } of objects.values()) {
    if (matchesSelector(selector, labels)) return true;
  }
  return false;
}
