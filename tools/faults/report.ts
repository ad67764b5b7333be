/**
 * How the results of the matrix look: as text for people, as a document for other programs.
 */
import { steps } from '../../src/errors/index.js';
import type { Cell } from './cell.js';
import type { ControlResult } from './controls.js';
import { faultNames } from './faults.js';
import type { CellResult, MatrixResult } from './matrix.js';
import { points, type Point } from './points.js';

const STEP_WIDTH = 24;
const COLUMN_WIDTH = 8;

/** One invariant over all runs. */
export interface PointSummary {
  point: Point;
  /** Cells and pairs in whose runs it was put to the test. */
  cells: number;
  runs: number;
  /** How often it was put to the test. */
  checks: number;
  violations: number;
}

/**
 * The name by which a cell is repeated.
 *
 * @param cells its faults
 */
export function nameCells(cells: readonly Cell[]): string {
  return cells.map(({ step, fault }) => `${step}/${fault}`).join('+');
}

/**
 * The matrix: in each cell violations and runs, and `~` where a run's fault struck at another time
 * than at the step.
 *
 * @param result what came of all runs
 */
export function formatMatrix(result: MatrixResult): string {
  const byName = new Map<string, CellResult>();
  for (const single of result.singles) byName.set(nameCells(single.cells), single);
  const heads = faultNames.map((fault) => fault.slice(0, COLUMN_WIDTH - 1).padEnd(COLUMN_WIDTH));
  const lines = [`${''.padEnd(STEP_WIDTH)}${heads.join('')}`];
  for (const step of steps) {
    let line = step.padEnd(STEP_WIDTH);
    for (const fault of faultNames) line += formatCell(byName.get(nameCells([{ step, fault }])));
    lines.push(line);
  }
  return lines.join('\n');
}

function formatCell(result: CellResult | undefined): string {
  if (result === undefined) return 'none'.padEnd(COLUMN_WIDTH);
  let violated = 0;
  let missed = 0;
  for (const { violations, struck } of result.outcomes) {
    if (violations.length > 0) violated += 1;
    if (!struck) missed += 1;
  }
  const mark = missed > 0 ? '~' : '';
  return `${violated}/${result.outcomes.length}${mark}`.padEnd(COLUMN_WIDTH);
}

/**
 * What every invariant was put through.
 *
 * @param result what came of all runs
 */
export function summarisePoints(result: MatrixResult): PointSummary[] {
  const summaries: PointSummary[] = [];
  for (const point of points) {
    const summary: PointSummary = { point, cells: 0, runs: 0, checks: 0, violations: 0 };
    for (const cell of [...result.singles, ...result.pairs]) addCell(summary, cell);
    summaries.push(summary);
  }
  return summaries;
}

function addCell(summary: PointSummary, { outcomes }: CellResult): void {
  let isTested = false;
  for (const { checks, violations } of outcomes) {
    const checked = checks.get(summary.point) ?? 0;
    if (checked > 0) {
      summary.runs += 1;
      isTested = true;
    }
    summary.checks += checked;
    for (const { point } of violations) if (point === summary.point) summary.violations += 1;
  }
  if (isTested) summary.cells += 1;
}

/**
 * A table of the invariants.
 *
 * @param summaries what every invariant was put through
 */
export function formatPoints(summaries: readonly PointSummary[]): string {
  const lines = [formatPointRow('point', 'cells', 'runs', 'checks', 'violations')];
  for (const { point, cells, runs, checks, violations } of summaries) {
    lines.push(formatPointRow(point, `${cells}`, `${runs}`, `${checks}`, `${violations}`));
  }
  return lines.join('\n');
}

function formatPointRow(point: string, ...numbers: string[]): string {
  let line = point.padEnd(48);
  for (const number of numbers) line += number.padStart(11);
  return line;
}

/**
 * One line for a control.
 *
 * @param result what it found
 */
export function formatControl({ control, runs, found }: ControlResult): string {
  const name = `without ${control.off}`.padEnd(34);
  const where = nameCells(control.cells);
  if (found === undefined) return `${name} FOUND NOTHING in ${runs} runs of ${where}`;
  const { point, detail, seed } = found;
  return `${name} run ${runs} of ${where} --seed ${seed}: ${point}: ${detail}`;
}

/**
 * The whole result as a document.
 *
 * @param result what came of all runs
 * @param controls what the controls found
 */
export function createDocument(result: MatrixResult, controls: readonly ControlResult[]): object {
  const describe = ({ cells, outcomes }: CellResult) => ({
    cell: nameCells(cells),
    runs: outcomes.map(({ seed, violations, struck, answered, asked }) => ({
      seed,
      violations,
      struck,
      answered,
      asked,
    })),
  });
  return {
    plan: result.plan,
    tookMs: Math.round(result.tookMs),
    points: summarisePoints(result),
    cells: result.singles.map(describe),
    pairs: result.pairs.map(describe),
    controls: controls.map(({ control, runs, found }) => ({ ...control, runs, found })),
  };
}
