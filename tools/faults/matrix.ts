/**
 * The matrix: which cells are run how often, and what came of each.
 */
import { steps, type Step } from '../../src/errors/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { runCell, type Cell, type RunOutcome } from './cell.js';
import { pickFrom } from './chance.js';
import { faultNames, type Fault } from './faults.js';
import type { Violation } from './points.js';

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
 * Runs everything.
 *
 * @param plan how much
 * @param progress hears of each cell that is done
 */
export async function runMatrix(
  plan: MatrixPlan,
  progress: (result: CellResult) => void,
): Promise<MatrixResult> {
  const startedAt = performance.now();
  const singles: CellResult[] = [];
  for (const [index, cell] of listCells().entries()) {
    const outcomes: RunOutcome[] = [];
    for (let run = 0; run < plan.runs; run++) {
      outcomes.push(await runCell([cell], resolveSeed(plan, index, run)));
    }
    const result = { cells: [cell], outcomes };
    singles.push(result);
    progress(result);
  }
  const pairs: CellResult[] = [];
  for (const [index, cells] of pickPairs(plan).entries()) {
    const seed = resolveSeed(plan, singles.length + index, 0);
    const result = { cells, outcomes: [await runCell(cells, seed)] };
    pairs.push(result);
    progress(result);
  }
  return { plan, singles, pairs, tookMs: performance.now() - startedAt };
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
