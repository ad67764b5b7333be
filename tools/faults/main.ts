/**
 * `npm run faults`: the fault matrix. Every fault at every step, pairs of faults, and controls with
 * a mechanism switched off, in process and in virtual time. Exits 0 only if nothing was violated,
 * every step that the code does was struck, and every control found its violation.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { defineCommand, runMain } from 'citty';
import { z } from 'zod';
import { steps, stepSchema, type Step } from '../../src/errors/index.js';
import { refuseUnknown } from '../common/index.js';
import { runCell, type Cell } from './cell.js';
import { controls, runControl, type ControlResult } from './controls.js';
import { faultNames } from './faults.js';
import {
  listViolations,
  runMatrix,
  type CellResult,
  type MatrixPlan,
  type MatrixResult,
} from './matrix.js';
import {
  createDocument,
  formatControl,
  formatMatrix,
  formatPoints,
  nameCells,
  summarisePoints,
} from './report.js';

const DEFAULT_SEED = 1;
const DEFAULT_RUNS = 1;
const DEFAULT_PAIRS = 80;
const DEFAULT_THREADS = 3;
const OUT_FOLDER = 'out';
const MOST_DETAILS = 4;

/** Steps that the matrix's fleet never does, whose engines are all mixed; a fault strikes at any time. */
const stepsNotDone: readonly Step[] = ['engine.handover'];

const cellSchema = z.object({ step: stepSchema, fault: z.enum(faultNames) });

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function parseCells(text: string): Cell[] {
  const cells: Cell[] = [];
  for (const part of text.split('+')) {
    const [step, fault] = part.split('/');
    cells.push(cellSchema.parse({ step, fault }));
  }
  return cells;
}

async function repeatCell(text: string, seed: number): Promise<number> {
  const { struck, answered, asked, violations } = await runCell(parseCells(text), seed);
  const at = struck ? 'at the step' : 'elsewhere';
  say(`${text} --seed ${seed}: struck ${at}; ${answered} of ${asked} attempts answered`);
  for (const { point, detail } of violations) say(`  ${point}: ${detail}`);
  return violations.length === 0 ? 0 : 1;
}

function reportViolations({ cells, outcomes }: CellResult): void {
  for (const { seed, violations } of outcomes) {
    if (violations.length === 0) continue;
    say(`VIOLATED --cell ${nameCells(cells)} --seed ${seed}`);
    for (const { point, detail } of violations.slice(0, MOST_DETAILS)) say(`  ${point}: ${detail}`);
  }
}

async function runControls(seed: number): Promise<ControlResult[]> {
  const results: ControlResult[] = [];
  for (const control of controls) {
    const result = await runControl(control, seed);
    say(formatControl(result));
    results.push(result);
  }
  return results;
}

/** Steps that no run's fault struck, although the code does them. */
function listUnstruck(result: MatrixResult): Step[] {
  const struck = new Set<Step>();
  for (const { cells, outcomes } of result.singles) {
    for (const outcome of outcomes) {
      if (outcome.struck) for (const { step } of cells) struck.add(step);
    }
  }
  return steps.filter((step) => !struck.has(step) && !stepsNotDone.includes(step));
}

function write(result: MatrixResult, found: readonly ControlResult[]): void {
  mkdirSync(OUT_FOLDER, { recursive: true });
  const document = JSON.stringify(createDocument(result, found), undefined, 1);
  writeFileSync(`${OUT_FOLDER}/faults.json`, `${document}\n`);
  const text = [formatMatrix(result), '', formatPoints(summarisePoints(result)), ''];
  for (const control of found) text.push(formatControl(control));
  writeFileSync(`${OUT_FOLDER}/faults.txt`, `${text.join('\n')}\n`);
}

async function runAll(plan: MatrixPlan, threads: number): Promise<number> {
  const { seed, runs, pairs } = plan;
  say(`seed ${seed}: ${runs} runs a cell, ${pairs} pairs, ${threads} threads`);
  const result = await runMatrix(plan, threads);
  for (const cell of [...result.singles, ...result.pairs]) reportViolations(cell);
  say(formatMatrix(result));
  say('');
  say(formatPoints(summarisePoints(result)));
  say('');
  const found = await runControls(seed);
  write(result, found);
  const violated = listViolations([...result.singles, ...result.pairs]).length;
  const unstruck = listUnstruck(result);
  const blind = found.filter((control) => control.found === undefined).length;
  say('');
  say(`steps that the fleet never does, struck at any time: ${stepsNotDone.join(', ')}`);
  if (unstruck.length > 0) say(`STEPS NEVER STRUCK: ${unstruck.join(', ')}`);
  const total = result.singles.length * runs + result.pairs.length;
  const took = `${(result.tookMs / 1_000).toFixed(0)} s`;
  say(`seed ${seed}: ${total} runs in ${took}, ${violated} violations, ${blind} blind controls`);
  return violated + unstruck.length + blind === 0 ? 0 : 1;
}

const args = {
  cell: { type: 'string', valueHint: 'step/fault[+step/fault]', description: 'Repeat one cell' },
  seed: { type: 'string', default: String(DEFAULT_SEED), description: 'Seed of the runs' },
  runs: { type: 'string', default: String(DEFAULT_RUNS), description: 'Runs of each cell' },
  pairs: {
    type: 'string',
    default: String(DEFAULT_PAIRS),
    description: 'Pairs of faults, at random',
  },
  threads: { type: 'string', default: String(DEFAULT_THREADS), description: 'Worker threads' },
} as const;

const command = defineCommand({
  meta: {
    name: 'faults',
    description: 'Every fault at every step, in virtual time, with controls',
  },
  args,
  async run({ args: given, rawArgs }) {
    refuseUnknown(rawArgs, args);
    const seed = Number(given.seed);
    const plan = { seed, runs: Number(given.runs), pairs: Number(given.pairs) };
    process.exitCode =
      given.cell === undefined
        ? await runAll(plan, Number(given.threads))
        : await repeatCell(given.cell, seed);
  },
});

await runMain(command);
