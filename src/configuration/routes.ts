/**
 * Decides which engine groups a team reaches with a request class. A binding counts where it
 * selects the team, the class and at least one group that serves the wanted model or plain
 * service. Of those that count, the ones with the highest precedence are used, and where several
 * have it, their groups are united.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Binding, EngineGroup, RequestClass, Team } from './objects.js';
import { matchesSelector } from './selectors.js';
import type { ConfigurationSnapshot } from './snapshot.js';

/** What a request is for: a model by name, or a plain service by name. */
export type Target = { model: string } | { service: string };

/** A request, as far as the configuration decides on it. */
export interface RouteQuery {
  /** Name of the team. */
  team: string;
  /** Name of the request class. */
  class: string;
  target: Target;
}

/** Where a request may go. */
export interface Route {
  team: Team;
  requestClass: RequestClass;
  /** Groups that serve the target, in the order of their names. */
  groups: EngineGroup[];
  /** Names of the bindings that allow it. */
  bindings: string[];
}

/** A binding that counts, with the groups that it allows for the target. */
export interface Candidate {
  binding: Binding;
  groups: EngineGroup[];
}

const MAX_REMEMBERED_ROUTES = 20_000;

const rememberedRoutes = new WeakMap<ConfigurationSnapshot, Map<string, Route>>();

/**
 * Resolves where a request may go. Found routes are remembered for each snapshot.
 *
 * @param snapshot the configuration to decide by
 * @param query team, class and target of the request
 * @param node name of this node, for the failure's peer
 * @returns the route; else `unknown-object` (team), `unknown-class`, `unknown-model`,
 * `unknown-service` or `no-binding`, with the offending field
 */
export function resolveRoute(
  snapshot: ConfigurationSnapshot,
  query: RouteQuery,
  node: string,
): Result<Route, Failure> {
  const remembered = resolveMemory(snapshot);
  const key = JSON.stringify([query.team, query.class, query.target]);
  const known = remembered.get(key);
  if (known !== undefined) return Ok(known);
  const route = computeRoute(snapshot, query, node);
  if (route.isErr()) return route;
  if (remembered.size >= MAX_REMEMBERED_ROUTES) remembered.clear();
  remembered.set(key, route.value);
  return route;
}

/**
 * Tells whether a group serves a target.
 *
 * @param group the engine group
 * @param target the wanted model or plain service
 */
export function servesTarget(group: EngineGroup, target: Target): boolean {
  if ('model' in target) return group.model === target.model;
  return group.service === target.service;
}

/**
 * Keeps the candidates with the highest precedence.
 *
 * @param candidates bindings that count for one request
 */
export function selectByPrecedence(candidates: readonly Candidate[]): Candidate[] {
  let highest = -Infinity;
  for (const { binding } of candidates) highest = Math.max(highest, binding.precedence);
  return candidates.filter(({ binding }) => binding.precedence === highest);
}

function resolveMemory(snapshot: ConfigurationSnapshot): Map<string, Route> {
  const known = rememberedRoutes.get(snapshot);
  if (known !== undefined) return known;
  const fresh = new Map<string, Route>();
  rememberedRoutes.set(snapshot, fresh);
  return fresh;
}

function computeRoute(
  snapshot: ConfigurationSnapshot,
  query: RouteQuery,
  node: string,
): Result<Route, Failure> {
  const refuse = createRefuser(node);
  const team = snapshot.teams.get(query.team);
  if (team === undefined) {
    return refuse('unknown-object', 'team', `there is no team "${query.team}"`);
  }
  const requestClass = snapshot.classes.get(query.class);
  if (requestClass === undefined) {
    return refuse('unknown-class', 'class', `there is no request class "${query.class}"`);
  }
  const serving = findServingGroups(snapshot, query.target);
  if (serving.length === 0) return refuseTarget(refuse, query.target);
  const selected = selectByPrecedence(findCandidates(snapshot, team, requestClass, serving));
  if (selected.length === 0) return refuseBinding(refuse, query);
  return Ok({
    team,
    requestClass,
    groups: uniteGroups(selected),
    bindings: selected.map(({ binding }) => binding.name),
  });
}

type Refuser = (code: Failure['code'], field: string, message: string) => Err<Failure>;

function createRefuser(node: string): Refuser {
  return (code, field, message) =>
    Err(createRefusal({ code, field, message, step: 'request.resolve', peer: node }));
}

function refuseTarget(refuse: Refuser, target: Target): Err<Failure> {
  if ('model' in target) {
    return refuse('unknown-model', 'model', `no engine group serves the model "${target.model}"`);
  }
  const message = `no engine group provides the plain service "${target.service}"`;
  return refuse('unknown-service', 'service', message);
}

function refuseBinding(refuse: Refuser, query: RouteQuery): Err<Failure> {
  const [field, name] =
    'model' in query.target
      ? (['model', query.target.model] as const)
      : (['service', query.target.service] as const);
  const message =
    `no binding lets team "${query.team}" use "${name}" with class "${query.class}"; ` +
    'ask an operator, or see "reedtally explain"';
  return refuse('no-binding', field, message);
}

function findServingGroups(snapshot: ConfigurationSnapshot, target: Target): EngineGroup[] {
  const serving: EngineGroup[] = [];
  for (const group of snapshot.groups.values()) {
    if (servesTarget(group, target)) serving.push(group);
  }
  return serving;
}

function findCandidates(
  snapshot: ConfigurationSnapshot,
  team: Team,
  requestClass: RequestClass,
  serving: readonly EngineGroup[],
): Candidate[] {
  const candidates: Candidate[] = [];
  for (const binding of snapshot.bindings.values()) {
    if (!matchesSelector(binding.teams, team.labels)) continue;
    if (!matchesSelector(binding.classes, requestClass.labels)) continue;
    const groups = serving.filter((group) => matchesSelector(binding.groups, group.labels));
    if (groups.length > 0) candidates.push({ binding, groups });
  }
  return candidates;
}

function uniteGroups(candidates: readonly Candidate[]): EngineGroup[] {
  const byName = new Map<string, EngineGroup>();
  for (const { groups } of candidates) {
    for (const group of groups) byName.set(group.name, group);
  }
  return [...byName.values()].sort((left, right) => (left.name < right.name ? -1 : 1));
}
