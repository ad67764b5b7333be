/**
 * The policies that are compared: settings of the nodes, by name.
 */

/** The `decisions` section of a node's settings. */
export type Decisions = Record<string, string | boolean>;

/** One policy. */
export interface Policy {
  name: string;
  decisions: Decisions;
}

/** Mechanisms that are switched off one at a time; the others are off unless asked for. */
const MECHANISMS = [
  'affinity',
  'fairness',
  'admission',
  'shortReserve',
  'ejection',
  'handover',
  'planner',
];

export const baselines: readonly Policy[] = [
  createBaseline('round-robin'),
  createBaseline('least-reported'),
  createBaseline('two-choices'),
];

/** Mechanisms that are off by default, each switched on. */
const additions: readonly Policy[] = [{ name: 'eager-planner', decisions: { eagerPlanner: true } }];

export const reedtally: Policy = { name: 'reedtally', decisions: { placement: 'permits' } };

/** A node that places alone knows nothing of roles, so its engines keep theirs. */
function createBaseline(placement: string): Policy {
  return { name: placement, decisions: { placement, planner: false } };
}

/** Reedtally without each of its mechanisms in turn. */
export function listAblations(): Policy[] {
  const ablations: Policy[] = [];
  for (const mechanism of MECHANISMS) {
    ablations.push({ name: `without-${mechanism}`, decisions: { [mechanism]: false } });
  }
  return ablations;
}

/**
 * Finds policies by their names; `all`, `baselines` and `ablations` stand for several.
 *
 * @param names as given on the command line, separated by commas
 */
export function findPolicies(names: string): Policy[] {
  const every = [...baselines, reedtally, ...listAblations(), ...additions];
  const found: Policy[] = [];
  for (const name of names.split(',')) {
    if (name === 'all') found.push(...every);
    else if (name === 'baselines') found.push(...baselines, reedtally);
    else if (name === 'ablations') found.push(reedtally, ...listAblations());
    else found.push(findPolicy(every, name));
  }
  return found;
}

function findPolicy(every: readonly Policy[], name: string): Policy {
  const found = every.find((policy) => policy.name === name);
  if (found !== undefined) return found;
  const known = every.map((policy) => policy.name).join(', ');
  throw new Error(`no policy "${name}"; known: all, baselines, ablations, ${known}`);
}
