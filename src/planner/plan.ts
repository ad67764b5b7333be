/**
 * Estimates how much of a demand a group's engines can serve in given roles. A mixed engine divides
 * its time between prefill and decode as needed. A prefill or decode engine does one of the two, and
 * each request needs both, so the spare capacity of the faster side is lost.
 */
import type { Role } from '../ports/index.js';

/** Demand on a group of engines. */
export interface Demand {
  promptTokensPerSecond: number;
  outputTokensPerSecond: number;
}

/** Throughput of one engine in each role. */
export interface RoleRates {
  /** Prefill throughput of an engine that does nothing else. */
  promptTokensPerSecond: number;
  /** Decode throughput of an engine that does nothing else, over its whole batch. */
  outputTokensPerSecond: number;
  /** Throughput of a mixed engine relative to dedicated engines, from 0 to 1. */
  mixedEfficiency: number;
}

/** Number of engines in each role. */
export interface RoleCounts {
  mixed: number;
  prefill: number;
  decode: number;
}

/** An engine, as input of the planner. */
export interface PlannedEngine {
  id: string;
  role: Role;
  /** Whether a change of the engine is in progress. */
  isChanging: boolean;
  /** Permits in use; the engine with the fewest is changed first. */
  permitsOut: number;
}

/** Input of a plan. */
export interface PlanInput {
  engines: readonly PlannedEngine[];
  demand: Demand;
  rates: RoleRates;
  /** Time for which a role change makes an engine unavailable, in milliseconds. */
  downtimeMs: number;
}

/** One engine's new role. */
export interface RoleChange {
  engine: string;
  role: Role;
}

/**
 * Estimates the share of a demand that engines can serve; above 1 if capacity exceeds demand,
 * infinite if there is no demand.
 *
 * @param counts number of engines in each role
 * @param demand the demand
 * @param rates throughput of one engine
 */
export function resolveServedShare(counts: RoleCounts, demand: Demand, rates: RoleRates): number {
  const work = resolveWork(demand, rates);
  if (work === 0) return Number.POSITIVE_INFINITY;
  const prefillShare = resolveShare(
    counts.prefill * rates.promptTokensPerSecond,
    demand.promptTokensPerSecond,
  );
  const decodeShare = resolveShare(
    counts.decode * rates.outputTokensPerSecond,
    demand.outputTokensPerSecond,
  );
  const dedicatedShare = Math.min(prefillShare, decodeShare);
  return dedicatedShare + (counts.mixed * rates.mixedEfficiency) / work;
}

/**
 * Converts a demand to the number of fully busy engines that serve it: engine seconds per second.
 *
 * @param demand the demand
 * @param rates throughput of one engine
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
 * Counts the engines that have to change their role. Both counts have the same total.
 *
 * @param from the present roles
 * @param to the wanted roles
 */
export function countChanges(from: RoleCounts, to: RoleCounts): number {
  let changes = 0;
  for (const role of roles) changes += Math.max(0, to[role] - from[role]);
  return changes;
}

/**
 * Lists the next changes towards the wanted roles, the least loaded engines first.
 *
 * @param engines the engines
 * @param to the wanted roles
 * @param maxChanges number of changes that may begin now
 */
export function resolveNextChanges(
  engines: readonly PlannedEngine[],
  to: RoleCounts,
  maxChanges: number,
): RoleChange[] {
  const counts = countRoles(engines);
  const byLoad = [...engines].sort((left, right) => left.permitsOut - right.permitsOut);
  const changes: RoleChange[] = [];
  for (const { id, role, isChanging } of byLoad) {
    if (changes.length >= maxChanges) break;
    if (isChanging || counts[role] <= to[role]) continue;
    const wanted = roles.find((candidate) => counts[candidate] < to[candidate]);
    if (wanted === undefined) break;
    counts[role] -= 1;
    counts[wanted] += 1;
    changes.push({ engine: id, role: wanted });
  }
  return changes;
}

/** Yields every distribution of roles over the given number of engines. */
export function* listRoleCounts(engines: number): Generator<RoleCounts> {
  for (let prefill = 0; prefill <= engines; prefill += 1) {
    for (let decode = 0; decode + prefill <= engines; decode += 1) {
      yield { prefill, decode, mixed: engines - prefill - decode };
    }
  }
}

const roles = ['mixed', 'prefill', 'decode'] as const satisfies Role[];

function resolveShare(capacity: number, demand: number): number {
  return demand === 0 ? Number.POSITIVE_INFINITY : capacity / demand;
}
