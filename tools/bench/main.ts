/**
 * `npm run bench`: offers the same work to each policy on real processes and prints them side by
 * side. `--quick` compares reedtally with least reported load in under a minute.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { defineCommand, runMain } from 'citty';
import { faultNames, type FaultName } from './faults.js';
import { findPolicies, type Policy } from './policies.js';
import { runPlan, type RunPlan } from './run.js';
import { loadExperiment } from './settings.js';
import { summarize, type RunSummary } from './summary.js';
import { formatRatio, formatTable } from './table.js';

const PORTS_PER_DEPLOYMENT = 100;
const QUICK_SECONDS = 24;
const FULL_SECONDS = 60;
const FOLDER = 'out/bench';

const args = {
  quick: { type: 'boolean', description: 'Reedtally and least reported load, in under 60 s' },
  policies: { type: 'string', description: 'Names with commas; all, baselines or ablations' },
  deployment: { type: 'string', default: 'tema', description: 'tema or association' },
  seed: { type: 'string', default: '1', description: 'Seed of the requests' },
  seconds: { type: 'string', description: 'How long requests are sent' },
  load: { type: 'string', default: '0.9', description: "Share of the fleet's capacity" },
  large: {
    type: 'string',
    default: '1',
    description: 'Times its share that the large team offers',
  },
  fault: { type: 'string', default: 'none', description: faultNames.join(', ') },
  parallel: { type: 'string', description: 'Deployments that run side by side' },
  'warm-up': { type: 'string', default: '4', description: 'Seconds left out at the beginning' },
  'change-cost': { type: 'string', description: "Weight of role changes, for the deployment's" },
  'base-port': { type: 'string', default: '30000', description: 'First port' },
  name: { type: 'string', default: 'bench', description: 'Name of the report in out/bench' },
} as const;

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function parseFault(name: string): FaultName {
  const found = faultNames.find((known) => known === name);
  if (found === undefined) throw new Error(`no fault "${name}"; known: ${faultNames.join(', ')}`);
  return found;
}

/** Runs plans, some of them side by side. */
async function runAll(
  plans: readonly RunPlan[],
  parallel: number,
  warmUp: number,
): Promise<RunSummary[]> {
  const summaries: RunSummary[] = [];
  for (let first = 0; first < plans.length; first += parallel) {
    const together = plans.slice(first, first + parallel);
    say(`running ${together.map(({ name }) => name).join(', ')}`);
    const records = await Promise.all(together.map(runPlan));
    for (const record of records) {
      summaries.push(summarize(record, warmUp));
    }
  }
  return summaries;
}

const command = defineCommand({
  meta: { name: 'bench', description: 'Compare policies on real processes' },
  args,
  async run({ args: given }) {
    const isQuick = given.quick === true;
    const experiment = loadExperiment(given.deployment);
    const seconds = Number(given.seconds ?? (isQuick ? QUICK_SECONDS : FULL_SECONDS));
    const policies = findPolicies(given.policies ?? (isQuick ? 'least-reported,reedtally' : 'all'));
    const parallel = Number(given.parallel ?? (isQuick ? policies.length : 1));
    const offer = {
      seed: Number(given.seed),
      seconds,
      load: Number(given.load),
      largeFactor: Number(given.large),
    };
    const createPlan = (policy: Policy, index: number): RunPlan => ({
      name: policy.name,
      deployment: given.deployment,
      experiment,
      policy,
      offer,
      fault: parseFault(given.fault),
      faultAtSeconds: seconds / 2,
      changeCost: Number(given['change-cost'] ?? experiment.deployment.changeCost),
      basePort: Number(given['base-port']) + (index % parallel) * PORTS_PER_DEPLOYMENT,
      generators: 1,
    });
    const summaries = await runAll(policies.map(createPlan), parallel, Number(given['warm-up']));
    say('');
    say(formatTable(summaries));
    say('');
    const ratio = formatRatio(summaries, 'reedtally', 'least-reported');
    if (ratio !== undefined) say(ratio);
    mkdirSync(FOLDER, { recursive: true });
    const file = `${FOLDER}/${given.name}.json`;
    writeFileSync(
      file,
      JSON.stringify({ offer, deployment: given.deployment, summaries }, null, 1),
    );
    say(`written: ${file}`);
  },
});

await runMain(command);
