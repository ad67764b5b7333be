/**
 * `npm run bench`: offers the same work to each policy on real processes and prints them side by
 * side. `--quick` compares reedtally with least reported load in under a minute.
 */
import { availableParallelism, loadavg } from 'node:os';
import { defineCommand, runMain } from 'citty';
import { refuseUnknown } from '../common/index.js';
import { reckonCachedShare } from './cached-share.js';
import { describeFindings } from './findings.js';
import { faultNames } from './faults.js';
import { measureAddedLatency } from './added-latency.js';
import { createPlans, FAULT_AT } from './plans.js';
import { writeReport } from './report.js';
import { runPlan, type RunPlan } from './run.js';
import { loadExperiment } from './settings.js';
import { summarize, type RunSummary } from './summary.js';
import { formatTable } from './table.js';

const QUICK_SECONDS = 24;
const FULL_SECONDS = 60;
const FULL_PARALLEL = 1;
/** Time over which `--capacity` reckons. */
const CAPACITY_SECONDS = 300;

const args = {
  quick: { type: 'boolean', description: 'Reedtally and least reported load, in under 60 s' },
  latency: { type: 'boolean', description: 'What reedtally adds to calling an engine directly' },
  capacity: { type: 'boolean', description: 'Reckon how much of the prompts can be cached' },
  policies: { type: 'string', description: 'Names with commas; all, baselines or ablations' },
  deployment: { type: 'string', default: 'tema', description: 'tema or association' },
  seed: { type: 'string', default: '1', description: 'Seeds of the requests' },
  seconds: { type: 'string', description: 'How long requests are sent' },
  load: { type: 'string', default: '0.9', description: "Shares of the fleet's capacity" },
  large: {
    type: 'string',
    default: '1',
    description: 'Times its share that the large team offers',
  },
  fault: { type: 'string', default: 'none', description: faultNames.join(', ') },
  parallel: { type: 'string', description: 'Deployments that run side by side' },
  'warm-up': { type: 'string', default: '6', description: 'Seconds left out at the beginning' },
  'change-cost': { type: 'string', description: "Weights of role changes, for the deployment's" },
  'phase-seconds': { type: 'string', description: "Length of a phase, for the workload's" },
  'base-port': { type: 'string', default: '30000', description: 'First port' },
  name: { type: 'string', default: 'bench', description: 'Name of the report in out/bench' },
} as const;

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function parseOptional(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

/** How busy the machine is, with whatever else runs on it. */
function describeMachine(): string {
  const [lastMinute = 0] = loadavg();
  return `load average ${lastMinute.toFixed(1)} on ${availableParallelism()} cores`;
}

/** A run that failed is said and the others go on; the command then fails as a whole. */
function reportFailure(name: string, reason: unknown): void {
  process.exitCode = 1;
  say(`${name}: RUN FAILED: ${String(reason)}`);
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
    const settled = await Promise.allSettled(together.map(runPlan));
    for (const [index, result] of settled.entries()) {
      if (result.status === 'fulfilled') summaries.push(summarize(result.value, warmUp));
      else reportFailure(together[index]?.name ?? '', result.reason);
    }
  }
  return summaries;
}

const command = defineCommand({
  meta: { name: 'bench', description: 'Compare policies on real processes' },
  args,
  async run({ args: given, rawArgs }) {
    refuseUnknown(rawArgs, args);
    const isQuick = given.quick === true;
    const basePort = Number(given['base-port']);
    const experiment = loadExperiment(given.deployment);
    if (given.latency === true) {
      say(await measureAddedLatency(given.deployment, experiment, basePort));
      return;
    }
    if (given.capacity === true) {
      const offer = { seed: 1, seconds: CAPACITY_SECONDS, load: 1, largeFactor: 1 };
      const share = reckonCachedShare(experiment, offer);
      say(`verdicts' prompt tokens that can be found cached: ${share.toFixed(3)}`);
      return;
    }
    const seconds = Number(given.seconds ?? (isQuick ? QUICK_SECONDS : FULL_SECONDS));
    const policies = given.policies ?? (isQuick ? 'least-reported,reedtally' : 'all');
    const parallel = Number(given.parallel ?? (isQuick ? 2 : FULL_PARALLEL));
    const plans = createPlans({
      policies,
      deployment: given.deployment,
      seeds: given.seed,
      loads: given.load,
      largeFactors: given.large,
      faults: given.fault,
      changeCosts: given['change-cost'],
      seconds,
      phaseSeconds: parseOptional(given['phase-seconds']),
      basePort,
      parallel,
    });
    const before = describeMachine();
    const summaries = await runAll(plans, parallel, Number(given['warm-up']));
    const findings = describeFindings(summaries, seconds * FAULT_AT);
    const machine = `machine: ${before} before, ${describeMachine()} after`;
    const text = [formatTable(summaries), '', ...findings, machine].join('\n');
    say(`\n${text}`);
    const { workload, times } = experiment;
    const notes = [times.source, workload.note];
    const call = `npm run bench -- ${process.argv.slice(2).join(' ')}`;
    const files = await writeReport(given.name, { command: call, notes, summaries, text });
    say(`written: ${files.join(', ')}`);
  },
});

await runMain(command);
