/**
 * Explains to operators which backend servers a team reaches with a request class: for each
 * binding and each VM why it is used or not.
 */
import * as z from 'zod';
import { failureSchema } from '../errors/index.js';
import type { Vm } from '../ports/index.js';
import { explainNoNewWork, explainNonMember } from './membership.js';
import type { Binding, EngineGroup } from './objects.js';
import { resolveRoute, servesTarget, type Route, type RouteQuery } from './routes.js';
import { findUnmetRequirement, matchesSelector } from './selectors.js';
import type { ConfigurationSnapshot } from './snapshot.js';

export const bindingVerdictSchema = z.object({
  name: z.string(),
  precedence: z.number().int(),
  /** `outranked`: it matches, but another that matches has a higher precedence. */
  verdict: z.enum(['used', 'outranked', 'not-matching']),
  /** Why it is not used; empty for a used one. */
  reasons: z.array(z.string()),
});

/** What became of one binding. */
export type BindingVerdict = z.infer<typeof bindingVerdictSchema>;

export const vmVerdictSchema = z.object({
  id: z.string(),
  zone: z.string(),
  reached: z.boolean(),
  /** Groups of the route that it belongs to. */
  groups: z.array(z.string()),
  /** Why it is not reached; empty for a reached one. */
  reasons: z.array(z.string()),
});

/** What became of one VM. */
export type VmVerdict = z.infer<typeof vmVerdictSchema>;

export const explanationSchema = z.object({
  /** The configuration that was explained. */
  version: z.number().int(),
  /** Groups that the request may go to. */
  groups: z.array(z.string()),
  /** Why there is no route, where there is none. */
  failure: failureSchema.optional(),
  bindings: z.array(bindingVerdictSchema),
  vms: z.array(vmVerdictSchema),
});

/** Why a request goes where it goes. */
export type Explanation = z.infer<typeof explanationSchema>;

/**
 * Explains a route.
 *
 * @param snapshot the configuration to decide by
 * @param query team, class and target of the request
 * @param vms the VMs as the platform lists them; entry VMs are passed over
 * @param node name of this node
 */
export function explainRoute(
  snapshot: ConfigurationSnapshot,
  query: RouteQuery,
  vms: readonly Vm[],
  node: string,
): Explanation {
  const result = resolveRoute(snapshot, query, node);
  const route = result.isOk() ? result.value : undefined;
  return {
    version: snapshot.version,
    groups: route?.groups.map((group) => group.name) ?? [],
    ...(result.isErr() ? { failure: result.error } : {}),
    bindings: explainBindings(snapshot, query, route),
    vms: explainVms(snapshot, route, vms),
  };
}

function explainBindings(
  snapshot: ConfigurationSnapshot,
  query: RouteQuery,
  route: Route | undefined,
): BindingVerdict[] {
  const verdicts: BindingVerdict[] = [];
  for (const binding of snapshot.bindings.values()) {
    const { name, precedence } = binding;
    if (route?.bindings.includes(name)) {
      verdicts.push({ name, precedence, verdict: 'used', reasons: [] });
      continue;
    }
    const reasons = explainMismatch(snapshot, query, binding);
    if (reasons.length > 0) {
      verdicts.push({ name, precedence, verdict: 'not-matching', reasons });
      continue;
    }
    const outranked = 'matches, but a matching binding has a higher precedence';
    verdicts.push({ name, precedence, verdict: 'outranked', reasons: [outranked] });
  }
  return verdicts;
}

function explainMismatch(
  snapshot: ConfigurationSnapshot,
  query: RouteQuery,
  binding: Binding,
): string[] {
  const team = explainSelection('team', binding.teams, snapshot.teams.get(query.team));
  const requestClass = explainSelection(
    'class',
    binding.classes,
    snapshot.classes.get(query.class),
  );
  const groups = explainGroups(snapshot, query, binding);
  return [team, requestClass, groups].filter((reason) => reason !== undefined);
}

function explainSelection(
  kind: string,
  selector: Binding['teams'],
  object: { labels: Record<string, string> } | undefined,
): string | undefined {
  if (object === undefined) return `${kind}: does not exist`;
  const unmet = findUnmetRequirement(selector, object.labels);
  return unmet === undefined ? undefined : `${kind}: ${unmet}`;
}

function explainGroups(
  snapshot: ConfigurationSnapshot,
  query: RouteQuery,
  binding: Binding,
): string | undefined {
  const reasons: string[] = [];
  for (const group of snapshot.groups.values()) {
    if (!servesTarget(group, query.target)) continue;
    if (matchesSelector(binding.groups, group.labels)) return undefined;
    const unmet = findUnmetRequirement(binding.groups, group.labels) ?? '';
    reasons.push(`${group.name} ${unmet}`);
  }
  if (reasons.length === 0) return 'groups: none serves the target';
  return `groups: ${reasons.join('; ')}`;
}

function explainVms(
  snapshot: ConfigurationSnapshot,
  route: Route | undefined,
  vms: readonly Vm[],
): VmVerdict[] {
  const verdicts: VmVerdict[] = [];
  for (const vm of vms) {
    if (vm.kind === 'entry') continue;
    verdicts.push(explainVm(snapshot, route?.groups ?? [], vm));
  }
  return verdicts;
}

function explainVm(
  snapshot: ConfigurationSnapshot,
  groups: readonly EngineGroup[],
  vm: Vm,
): VmVerdict {
  const memberOf: string[] = [];
  const reasons: string[] = [];
  for (const group of groups) {
    const reason = explainNonMember(snapshot, group, vm);
    if (reason === undefined) memberOf.push(group.name);
    else reasons.push(`not in ${group.name}: ${reason}`);
  }
  if (groups.length === 0) reasons.push('there is no route');
  const { id, zone } = vm;
  if (memberOf.length === 0) return { id, zone, reached: false, groups: memberOf, reasons };
  const noNewWork = explainNoNewWork(snapshot, vm);
  if (noNewWork === undefined) return { id, zone, reached: true, groups: memberOf, reasons: [] };
  return { id, zone, reached: false, groups: memberOf, reasons: [noNewWork] };
}
