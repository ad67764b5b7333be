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

/** Mechanisms that are switched off one at a time. */
const MECHANISMS = [
  'affinity',
  'fairness',
  'admission',
  'shortReserve',
  'ejection',
  'handover',
  'planner',
  'preemption',
];

export const baselines: readonly Policy[] = [
  { name: 'round-robin', decisions: { placement: 'round-robin' } },
  { name: 'least-reported', decisions: { placement: 'least-reported' } },
  { name: 'two-choices', decisions: { placement: 'two-choices' } },
];

export const reedtally: Policy = { name: 'reedtally', decisions: { placement: 'permits' } };

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
  const every = [...baselines, reedtally, ...listAblations()];
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
