/**
 * The runs of an experiment: every policy with every load, fault and weight that was asked for.
 */
import { faultNames, type FaultName } from './faults.js';
import { findPolicies, type Policy } from './policies.js';
import type { RunPlan } from './run.js';
import { loadExperiment } from './settings.js';

/** What was asked for, as given on the command line; lists are separated by commas. */
export interface Wish {
  policies: string;
  deployment: string;
  seeds: string;
  loads: string;
  largeFactors: string;
  faults: string;
  /** The deployment's own when absent. */
  changeCosts: string | undefined;
  seconds: number;
  /** Length of a phase, in place of the workload's own. */
  phaseSeconds: number | undefined;
  basePort: number;
  /** How many runs go side by side, each with ports of its own. */
  parallel: number;
}

/** What a run differs in from the others, besides its policy. */
interface Variation {
  seed: number;
  load: number;
  largeFactor: number;
  fault: FaultName;
  changeCost: number;
}

const PORTS_PER_DEPLOYMENT = 100;
/** Share of a run after which its fault comes. */
export const FAULT_AT = 0.5;

/**
 * Makes the plans of an experiment.
 *
 * @param wish what was asked for
 */
export function createPlans(wish: Wish): RunPlan[] {
  const experiment = loadExperiment(wish.deployment, wish.phaseSeconds);
  const variations = listVariations(wish, experiment.deployment.changeCost);
  const plans: RunPlan[] = [];
  for (const variation of variations) {
    for (const policy of findPolicies(wish.policies)) {
      const { seed, load, largeFactor, fault, changeCost } = variation;
      plans.push({
        name: nameRun(policy, variation, variations),
        deployment: wish.deployment,
        phaseSeconds: wish.phaseSeconds,
        experiment,
        policy,
        offer: { seed, load, largeFactor, seconds: wish.seconds },
        fault,
        faultAtSeconds: wish.seconds * FAULT_AT,
        changeCost,
        basePort: wish.basePort + (plans.length % wish.parallel) * PORTS_PER_DEPLOYMENT,
        generators: 1,
      });
    }
  }
  return plans;
}

function listVariations(wish: Wish, ownChangeCost: number): Variation[] {
  const variations: Variation[] = [];
  const changeCosts = wish.changeCosts ?? String(ownChangeCost);
  for (const seed of parseNumbers(wish.seeds)) {
    for (const load of parseNumbers(wish.loads)) {
      for (const largeFactor of parseNumbers(wish.largeFactors)) {
        for (const changeCost of parseNumbers(changeCosts)) {
          for (const fault of parseFaults(wish.faults)) {
            variations.push({ seed, load, largeFactor, fault, changeCost });
          }
        }
      }
    }
  }
  return variations;
}

/** The policy's name, with what varies. */
function nameRun(policy: Policy, own: Variation, all: readonly Variation[]): string {
  const parts = [policy.name];
  const varies = (key: keyof Variation) => all.some((other) => other[key] !== own[key]);
  if (varies('seed')) parts.push(`s${own.seed}`);
  if (varies('load')) parts.push(String(own.load));
  if (varies('largeFactor')) parts.push(`large×${own.largeFactor}`);
  if (varies('changeCost')) parts.push(`cost ${own.changeCost}`);
  if (varies('fault')) parts.push(own.fault);
  return parts.join(' ');
}

function parseNumbers(list: string): number[] {
  const numbers: number[] = [];
  for (const item of list.split(',')) {
    const number = Number(item);
    if (item === '' || !Number.isFinite(number)) throw new Error(`"${item}" is not a number`);
    numbers.push(number);
  }
  return numbers;
}

function parseFaults(list: string): FaultName[] {
  const faults: FaultName[] = [];
  for (const name of list.split(',')) {
    const found = faultNames.find((known) => known === name);
    if (found === undefined) throw new Error(`no fault "${name}"; known: ${faultNames.join(', ')}`);
    faults.push(found);
  }
  return faults;
}
