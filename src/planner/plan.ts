/**
 * How much of a demand a group's engines can serve in given roles. A mixed engine divides its time
 * between prompts and tokens as it needs; an engine with a role does one of the two, and a request
 * that is read on one engine is generated on another, so what either has beyond the other is lost.
 */
import type { Role } from '../ports/index.js';

/** Demand for a group, or the share of it that some engines serve. */
export interface Demand {
  promptTokensPerSecond: number;
  outputTokensPerSecond: number;
}

/** How fast one engine works in each role. */
export interface RoleRates {
  /** Prompt tokens a second of an engine that does nothing else. */
  promptTokensPerSecond: number;
  /** Tokens a second of an engine that does nothing else, over its whole batch. */
  outputTokensPerSecond: number;
  /** What a mixed engine does of its work for the time that it takes for both, from 0 to 1. */
  mixedEfficiency: number;
}

/** How many engines have each role. */
export interface RoleCounts {
  mixed: number;
  prefill: number;
  decode: number;
}

/** An engine as the planner sees it. */
export interface PlannedEngine {
  id: string;
  role: Role;
  /** A change of it is under way. */
  isChanging: boolean;
  /** Requests on it; the idlest engine is changed first. */
  permitsOut: number;
}

/** What a plan is made from. */
export interface PlanInput {
  engines: readonly PlannedEngine[];
  demand: Demand;
  rates: RoleRates;
  /** How long a role change takes an engine away, in milliseconds. */
  downtimeMs: number;
}

/** One engine's new role. */
export interface RoleChange {
  engine: string;
  role: Role;
}

/**
 * Share of a demand that engines can serve; above 1 when there is more than is needed.
 *
 * @param counts how many engines have each role
 * @param demand the demand
 * @param rates how fast one engine works
 */
export function resolveServedShare(counts: RoleCounts, demand: Demand, rates: RoleRates): number {
  const workPerSecond = resolveWork(demand, rates);
  if (workPerSecond === 0) return Number.POSITIVE_INFINITY;
  const read = divide(counts.prefill * rates.promptTokensPerSecond, demand.promptTokensPerSecond);
  const written = divide(counts.decode * rates.outputTokensPerSecond, demand.outputTokensPerSecond);
  const split = Math.min(read, written);
  return split + (counts.mixed * rates.mixedEfficiency) / workPerSecond;
}

/**
 * Work of a demand in engines: seconds of one engine's time a second.
 *
 * @param demand the demand
 * @param rates how fast one engine works
 */
export function resolveWork(demand: Demand, rates: RoleRates): number {
  return (
    demand.promptTokensPerSecond / rates.promptTokensPerSecond +
    demand.outputTokensPerSecond / rates.outputTokensPerSecond
  );
}

/**
 * Counts the engines in each role.
 *
 * @param engines the engines
 */
export function countRoles(engines: readonly PlannedEngine[]): RoleCounts {
  const counts: RoleCounts = { mixed: 0, prefill: 0, decode: 0 };
  for (const { role } of engines) counts[role] += 1;
  return counts;
}

/**
 * How many engines have to change their role.
 *
 * @param from the roles now
 * @param to the roles wanted
 */
export function countChanges(from: RoleCounts, to: RoleCounts): number {
  let changes = 0;
  for (const role of roles) changes += Math.max(0, to[role] - from[role]);
  return changes;
}

/**
 * The next changes on the way to the wanted roles, the idlest engines first.
 *
 * @param engines the engines
 * @param to the roles wanted
 * @param most how many may begin now
 */
export function resolveNextChanges(
  engines: readonly PlannedEngine[],
  to: RoleCounts,
  most: number,
): RoleChange[] {
  const counts = countRoles(engines);
  const idlest = [...engines].sort((left, right) => left.permitsOut - right.permitsOut);
  const changes: RoleChange[] = [];
  for (const { id, role, isChanging } of idlest) {
    if (changes.length >= most) break;
    if (isChanging || counts[role] <= to[role]) continue;
    const wanted = roles.find((candidate) => counts[candidate] < to[candidate]);
    if (wanted === undefined) break;
    counts[role] -= 1;
    counts[wanted] += 1;
    changes.push({ engine: id, role: wanted });
  }
  return changes;
}

/** Every way to give roles to so many engines. */
export function* listRoleCounts(engines: number): Generator<RoleCounts> {
  for (let prefill = 0; prefill <= engines; prefill += 1) {
    for (let decode = 0; decode + prefill <= engines; decode += 1) {
      yield { prefill, decode, mixed: engines - prefill - decode };
    }
  }
}

const roles = ['mixed', 'prefill', 'decode'] as const satisfies Role[];

function divide(supply: number, need: number): number {
  return need === 0 ? Number.POSITIVE_INFINITY : supply / need;
}
