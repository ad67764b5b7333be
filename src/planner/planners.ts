/** Planners: decide which engines change their role now. They keep no state between plans. */
import {
  countChanges,
  countRoles,
  listRoleCounts,
  resolveNextChanges,
  resolveServedShare,
  resolveWork,
  type PlanInput,
  type RoleChange,
  type RoleCounts,
} from './plan.js';

/** Decides on role changes. */
export interface RolePlanner {
  /** Returns the changes to begin now; usually none. */
  plan(input: PlanInput): RoleChange[];
}

/** An operator's settings for role changes. */
export interface PlannerTerms {
  /** Additional cost of a role change, in engine seconds; higher means fewer changes. */
  changeCost: number;
  /** Time over which the gain of a change is counted, and past time over which demand is averaged, in ms. */
  horizonMs: number;
  /** Maximum number of engines that change at the same time. */
  maxAtOnce: number;
}

/** Planned capacity relative to the mean demand. */
const HEADROOM = 1.15;
/** Required ratio of gain to cost; prevents oscillation between plans of nearly equal value. */
const HYSTERESIS = 1.25;
const MS_PER_SECOND = 1_000;

/**
 * Changes a role only if the gain over the horizon exceeds the engine's downtime plus the operator's
 * cost of a change.
 */
export class CostedPlanner implements RolePlanner {
  readonly #terms: PlannerTerms;

  constructor(terms: PlannerTerms) {
    this.#terms = terms;
  }

  plan(input: PlanInput): RoleChange[] {
    const allowed = this.#terms.maxAtOnce - countChanging(input);
    if (allowed <= 0) return [];
    const best = this.#findBest(input);
    return best === undefined ? [] : resolveNextChanges(input.engines, best, allowed);
  }

  #findBest(input: PlanInput): RoleCounts | undefined {
    const present = countRoles(input.engines);
    const presentWork = resolveServedWork(present, input);
    let best: RoleCounts | undefined;
    let bestNet = 0;
    for (const counts of listRoleCounts(input.engines.length)) {
      const changes = countChanges(present, counts);
      if (changes === 0) continue;
      const gain =
        (resolveServedWork(counts, input) - presentWork) * this.#gainSeconds(changes, input);
      const cost = changes * (input.downtimeMs / MS_PER_SECOND + this.#terms.changeCost);
      if (gain <= cost * HYSTERESIS || gain - cost <= bestNet) continue;
      best = counts;
      bestNet = gain - cost;
    }
    return best;
  }

  /** Time within the horizon that remains after the changes, `maxAtOnce` at a time, in seconds. */
  #gainSeconds(changes: number, { downtimeMs }: PlanInput): number {
    const rounds = Math.ceil(changes / this.#terms.maxAtOnce);
    return Math.max(0, this.#terms.horizonMs - rounds * downtimeMs) / MS_PER_SECOND;
  }
}

/**
 * Follows the ratio of prefill to decode demand immediately and regardless of cost, without mixed
 * engines. A baseline for comparison with `CostedPlanner`.
 */
export class EagerPlanner implements RolePlanner {
  readonly #maxAtOnce: number;

  constructor(maxAtOnce: number) {
    this.#maxAtOnce = maxAtOnce;
  }

  plan(input: PlanInput): RoleChange[] {
    const { engines, demand, rates } = input;
    const allowed = this.#maxAtOnce - countChanging(input);
    const work = resolveWork(demand, rates);
    if (allowed <= 0 || work === 0 || engines.length < 2) return [];
    const prefillShare = demand.promptTokensPerSecond / rates.promptTokensPerSecond / work;
    const wanted = Math.round(prefillShare * engines.length);
    const prefill = Math.min(engines.length - 1, Math.max(1, wanted));
    const counts = { prefill, decode: engines.length - prefill, mixed: 0 };
    return resolveNextChanges(engines, counts, allowed);
  }
}

function countChanging({ engines }: PlanInput): number {
  let changing = 0;
  for (const { isChanging } of engines) {
    if (isChanging) changing += 1;
  }
  return changing;
}

/** Work served with these roles, in fully busy engines. Capacity beyond demand and headroom adds no value. */
function resolveServedWork(counts: RoleCounts, { demand, rates }: PlanInput): number {
  const served = Math.min(1, resolveServedShare(counts, demand, rates) / HEADROOM);
  return served * resolveWork(demand, rates);
}
