/**
 * One run: one policy on one deployment under one offer, with or without a fault.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { request } from 'undici';
import type { Offer } from './arrivals.js';
import { startDeployment, type RunningDeployment } from './deployment.js';
import { causeFault, type FaultName } from './faults.js';
import type { GeneratorJob } from './generator.js';
import type { GeneratorReport, Outcome } from './outcome.js';
import type { Policy } from './policies.js';
import { watchHealth, type StandInHealth } from './processor-use.js';
import type { Experiment } from './settings.js';

/** What is run. */
export interface RunPlan {
  name: string;
  deployment: string;
  phaseSeconds: number | undefined;
  experiment: Experiment;
  policy: Policy;
  offer: Offer;
  fault: FaultName;
  /** When the fault comes, in seconds since the run began. */
  faultAtSeconds: number;
  changeCost: number;
  basePort: number;
  generators: number;
}

/** What a run gave. */
export interface RunRecord {
  plan: RunPlan;
  outcomes: Outcome[];
  /** Attempts after the first, by reason, as nodes counted them. */
  retries: Record<string, number>;
  /** Role changes that engines were ordered to make, as they recorded them. */
  roleChanges: number;
  generators: { cpuShare: number; loopDelayMs: number }[];
  standIns: StandInHealth;
  /** Why the figures mean nothing; empty when they mean something. */
  invalid: string[];
}

const GENERATOR = 'dist/tools/bench/generator-main.js';
const LEAD_MS = 1_500;
const MS_PER_SECOND = 1_000;
/** Beyond these the tools, not the system, would be measured. */
const MAX_CPU_SHARE = 0.85;
const MAX_LATENESS_P99_MS = 30;
const MAX_PROBE_P99_MS = 40;
const P99 = 0.99;

/**
 * Runs a plan on a deployment that is started for it and stopped after it.
 *
 * @param plan what to run
 */
export async function runPlan(plan: RunPlan): Promise<RunRecord> {
  const folder = `out/bench/${plan.basePort}`;
  const running = await startDeployment({ ...plan, folder });
  try {
    return await runOn(plan, running);
  } finally {
    await running.stop();
  }
}

async function runOn(plan: RunPlan, running: RunningDeployment): Promise<RunRecord> {
  const startAt = Date.now() + LEAD_MS;
  const health = watchHealth(running.standIns, running.engines);
  const reporting: Promise<GeneratorReport>[] = [];
  for (let index = 0; index < plan.generators; index++) {
    reporting.push(startGenerator(createJob(plan, running, index, startAt)));
  }
  const failures: string[] = [];
  const fault = setTimeout(
    () => {
      causeFault(plan.fault, running).catch((error: unknown) => {
        failures.push(`the fault could not be caused: ${String(error)}`);
      });
    },
    LEAD_MS + plan.faultAtSeconds * MS_PER_SECOND,
  );
  const reports = await Promise.all(reporting);
  clearTimeout(fault);
  const standIns = health.stop();
  const outcomes: Outcome[] = [];
  for (const report of reports) {
    outcomes.push(...report.outcomes);
  }
  const generators = reports.map(({ cpuShare, loopDelayMs }) => ({ cpuShare, loopDelayMs }));
  return {
    plan,
    outcomes,
    retries: await countRetries(running),
    roleChanges: await countRoleChanges(running),
    generators,
    standIns,
    invalid: [...failures, ...findInvalid(outcomes, generators, standIns)],
  };
}

function createJob(
  plan: RunPlan,
  running: RunningDeployment,
  index: number,
  startAt: number,
): GeneratorJob {
  return {
    deployment: plan.deployment,
    phaseSeconds: plan.phaseSeconds,
    offer: plan.offer,
    index,
    count: plan.generators,
    addresses: running.nodes.map(({ caller }) => caller),
    startAt,
    runId: `${plan.name}-${startAt}`,
  };
}

async function startGenerator(job: GeneratorJob): Promise<GeneratorReport> {
  const child = fork(GENERATOR, { serialization: 'advanced' });
  const failed = once(child, 'exit').then(([code]) => {
    throw new Error(`a load generator ended with ${String(code)}`);
  });
  child.send(job);
  const received = once(child, 'message').then(([report]) => report as GeneratorReport);
  const report = await Promise.race([received, failed]);
  failed.catch(() => undefined);
  return report;
}

const RETRY_LINE = /^reedtally_retries_total\{reason="([^"]+)"\} (\d+)/gm;

async function countRetries(running: RunningDeployment): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { operator } of running.nodes) {
    const text = await readText(`http://${operator}/metrics`);
    for (const [, reason = '', count] of text.matchAll(RETRY_LINE)) {
      counts[reason] = (counts[reason] ?? 0) + Number(count);
    }
  }
  return counts;
}

async function countRoleChanges(running: RunningDeployment): Promise<number> {
  let changes = 0;
  for (const address of running.engines) {
    const text = await readText(`http://${address}/-/record`);
    if (text === '') continue;
    const { entries } = JSON.parse(text) as { entries: { event: string; result?: string }[] };
    for (const { event, result } of entries) {
      if (event === 'order' && result === 'changes') changes += 1;
    }
  }
  return changes;
}

/** @returns the empty text when there is no answer, as from a node that was killed */
async function readText(url: string): Promise<string> {
  try {
    const answer = await request(url);
    return await answer.body.text();
  } catch {
    return '';
  }
}

function findInvalid(
  outcomes: readonly Outcome[],
  generators: RunRecord['generators'],
  standIns: StandInHealth,
): string[] {
  const found: string[] = [];
  for (const { cpuShare } of generators) {
    if (cpuShare > MAX_CPU_SHARE)
      found.push(`a load generator used ${percent(cpuShare)} of a core`);
  }
  const { busiestCpuShare, probeP99Ms } = standIns;
  if (busiestCpuShare > MAX_CPU_SHARE) {
    found.push(`a stand-in used ${percent(busiestCpuShare)} of a core`);
  }
  if (probeP99Ms > MAX_PROBE_P99_MS) {
    found.push(`stand-ins answered in ${probeP99Ms.toFixed(0)} ms at the 99th percentile`);
  }
  const lateness = outcomes.map(({ latenessMs }) => latenessMs).sort((a, b) => a - b);
  const lateP99 = lateness[Math.floor(lateness.length * P99)] ?? 0;
  if (lateP99 > MAX_LATENESS_P99_MS) {
    found.push(`requests were sent ${lateP99.toFixed(0)} ms late at the 99th percentile`);
  }
  return found;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(0)}%`;
}
