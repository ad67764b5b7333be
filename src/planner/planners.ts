/**
 * Planners: which engines change their role now. Pure: they see demand, rates and roles, and keep
 * nothing between two plans.
 */
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
  /** The changes to begin now; most often none. */
  plan(input: PlanInput): RoleChange[];
}

/** An operator's word on role changes. */
export interface PlannerTerms {
  /** Worth of one role change, in seconds of a whole engine's work; higher means fewer changes. */
  changeCost: number;
  /** How far ahead a gain counts, and how far back demand is looked at, in milliseconds. */
  horizonMs: number;
  /** How many engines may be changing at once. */
  maxAtOnce: number;
}

/** Engines are planned to be this much stronger than the mean demand. */
const HEADROOM = 1.15;
/** A gain must be so many times its cost, so that two plans of equal worth do not take turns. */
const HYSTERESIS = 1.25;
const MS_PER_SECOND = 1_000;

/**
 * Changes a role only when the gain over the horizon is worth the engine's time away and what the
 * operator says that a change costs.
 */
export class CostedPlanner implements RolePlanner {
  readonly #terms: PlannerTerms;

  constructor(terms: PlannerTerms) {
    this.#terms = terms;
  }

  plan(input: PlanInput): RoleChange[] {
    const room = this.#terms.maxAtOnce - countChanging(input);
    if (room <= 0) return [];
    const best = this.#findBest(input);
    return best === undefined ? [] : resolveNextChanges(input.engines, best, room);
  }

  #findBest(input: PlanInput): RoleCounts | undefined {
    const present = countRoles(input.engines);
    const now = resolveWorth(present, input);
    let best: RoleCounts | undefined;
    let bestNet = 0;
    for (const counts of listRoleCounts(input.engines.length)) {
      const changes = countChanges(present, counts);
      if (changes === 0) continue;
      const gain = (resolveWorth(counts, input) - now) * this.#gainSeconds(changes, input);
      const cost = changes * (input.downtimeMs / MS_PER_SECOND + this.#terms.changeCost);
      if (gain <= cost * HYSTERESIS || gain - cost <= bestNet) continue;
      best = counts;
      bestNet = gain - cost;
    }
    return best;
  }

  /** The gain begins when the changes are done, and they follow one another. */
  #gainSeconds(changes: number, { downtimeMs }: PlanInput): number {
    const rounds = Math.ceil(changes / this.#terms.maxAtOnce);
    return Math.max(0, this.#terms.horizonMs - rounds * downtimeMs) / MS_PER_SECOND;
  }
}

/**
 * Follows the mix at once and whatever it costs, with prefill and decode engines alone. For
 * comparison with the other.
 */
export class EagerPlanner implements RolePlanner {
  readonly #maxAtOnce: number;

  constructor(maxAtOnce: number) {
    this.#maxAtOnce = maxAtOnce;
  }

  plan(input: PlanInput): RoleChange[] {
    const { engines, demand, rates } = input;
    const room = this.#maxAtOnce - countChanging(input);
    const work = resolveWork(demand, rates);
    if (room <= 0 || work === 0 || engines.length < 2) return [];
    const reading = demand.promptTokensPerSecond / rates.promptTokensPerSecond / work;
    const wanted = Math.round(reading * engines.length);
    const prefill = Math.min(engines.length - 1, Math.max(1, wanted));
    const counts = { prefill, decode: engines.length - prefill, mixed: 0 };
    return resolveNextChanges(engines, counts, room);
  }
}

function countChanging({ engines }: PlanInput): number {
  let changing = 0;
  for (const { isChanging } of engines) {
    if (isChanging) changing += 1;
  }
  return changing;
}

/** Work served with these roles, in engines. What is beyond the demand and its headroom is worth nothing. */
function resolveWorth(counts: RoleCounts, { demand, rates }: PlanInput): number {
  const served = Math.min(1, resolveServedShare(counts, demand, rates) / HEADROOM);
  return served * resolveWork(demand, rates);
}
