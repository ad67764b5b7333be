/**
 * The matrix: which cells are run how often, and what came of each.
 */
import { Worker } from 'node:worker_threads';
import { steps, type Step } from '../../src/errors/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import type { Cell, RunOutcome } from './cell.js';
import { pickFrom } from './chance.js';
import { faultNames, type Fault } from './faults.js';
import type { Violation } from './points.js';
import type { Job, JobResult } from './worker.js';

/** How much is run. */
export interface MatrixPlan {
  seed: number;
  /** Runs of each cell. */
  runs: number;
  /** Runs with two faults, picked at random. */
  pairs: number;
}

/** What came of the runs of one cell. */
export interface CellResult {
  cells: Cell[];
  outcomes: RunOutcome[];
}

/** What came of all runs. */
export interface MatrixResult {
  plan: MatrixPlan;
  singles: CellResult[];
  pairs: CellResult[];
  tookMs: number;
}

const PAIR_SALT = 0x2545f491;
const SEED_STRIDE = 1_000;

/** The cells with one fault each, in the order of the catalogue of steps. */
export function listCells(): Cell[] {
  const cells: Cell[] = [];
  for (const step of steps) {
    for (const fault of faultNames) cells.push({ step, fault });
  }
  return cells;
}

/**
 * The seed of one run of a cell, so that each can be repeated by itself.
 *
 * @param plan the plan
 * @param index the cell's place in the list
 * @param run the number of the run, from 0
 */
export function resolveSeed(plan: MatrixPlan, index: number, run: number): number {
  return plan.seed * SEED_STRIDE * SEED_STRIDE + index * SEED_STRIDE + run;
}

/**
 * Runs everything, on a few threads; a run depends on its seed alone, not on its thread.
 *
 * @param plan how much
 * @param threads how many threads
 */
export async function runMatrix(plan: MatrixPlan, threads: number): Promise<MatrixResult> {
  const startedAt = performance.now();
  const cells = listCells();
  const jobs: Job[] = [];
  for (const [index, cell] of cells.entries()) {
    for (let run = 0; run < plan.runs; run++) {
      jobs.push({ index: jobs.length, cells: [cell], seed: resolveSeed(plan, index, run) });
    }
  }
  const singleJobs = jobs.length;
  for (const [index, pair] of pickPairs(plan).entries()) {
    const seed = resolveSeed(plan, cells.length + index, 0);
    jobs.push({ index: jobs.length, cells: pair, seed });
  }
  const outcomes = await runJobs(jobs, threads);
  const singles: CellResult[] = [];
  for (const [index, cell] of cells.entries()) {
    const first = index * plan.runs;
    singles.push({ cells: [cell], outcomes: outcomes.slice(first, first + plan.runs) });
  }
  const pairs: CellResult[] = [];
  for (const job of jobs.slice(singleJobs)) {
    pairs.push({ cells: job.cells, outcomes: outcomes.slice(job.index, job.index + 1) });
  }
  return { plan, singles, pairs, tookMs: performance.now() - startedAt };
}

async function runJobs(jobs: readonly Job[], threads: number): Promise<RunOutcome[]> {
  const waiting = [...jobs];
  const outcomes: RunOutcome[] = [];
  const running: Promise<void>[] = [];
  for (let count = 0; count < threads; count++) running.push(runThread(waiting, outcomes));
  await Promise.all(running);
  return outcomes;
}

/** One thread takes jobs until none is left. */
function runThread(waiting: Job[], outcomes: RunOutcome[]): Promise<void> {
  const worker = new Worker(new URL('./worker.js', import.meta.url));
  return new Promise((resolve, reject) => {
    const next = () => {
      const job = waiting.shift();
      if (job !== undefined) worker.postMessage(job);
      else
        void worker.terminate().then(() => {
          resolve();
        });
    };
    worker.on('message', ({ index, outcome }: JobResult) => {
      outcomes[index] = outcome;
      next();
    });
    worker.on('error', reject);
    next();
  });
}

function pickPairs(plan: MatrixPlan): Cell[][] {
  const random = createSeededRandom(plan.seed ^ PAIR_SALT);
  const pairs: Cell[][] = [];
  for (let count = 0; count < plan.pairs; count++) {
    const cells: Cell[] = [];
    for (let part = 0; part < 2; part++) {
      const step: Step = pickFrom(steps, random) ?? 'engine.stream';
      const fault: Fault = pickFrom(faultNames.slice(1), random) ?? 'kill';
      cells.push({ step, fault });
    }
    pairs.push(cells);
  }
  return pairs;
}

/**
 * All violations of some results.
 *
 * @param results the results
 */
export function listViolations(results: readonly CellResult[]): Violation[] {
  const violations: Violation[] = [];
  for (const { outcomes } of results) {
    for (const outcome of outcomes) violations.push(...outcome.violations);
  }
  return violations;
}
