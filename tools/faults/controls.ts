/**
 * Controls: with one mechanism switched off, the matrix has to find the violation that it prevents.
 * A control that finds nothing shows that the matrix cannot see that violation.
 */
import { runCell, type Cell } from './cell.js';
import type { Mechanism } from './mechanisms.js';
import type { Point } from './points.js';

/** A mechanism that is switched off, where, and what has to be found. */
export interface Control {
  off: Mechanism;
  cells: Cell[];
  expected: readonly Point[];
}

/** What a control found. */
export interface ControlResult {
  control: Control;
  /** Runs until the violation was found, or all that were made. */
  runs: number;
  found: { point: Point; detail: string; seed: number } | undefined;
}

const MOST_RUNS = 60;
const SEED_SALT = 900_000;

/** Every control. */
export const controls: readonly Control[] = [
  {
    off: 'fencing',
    cells: [{ step: 'order.send', fault: 'pause', isHardest: true }],
    expected: ['no effect without authority', 'no conflicting orders'],
  },
  {
    off: 'idle-wait',
    cells: [{ step: 'order.send', fault: 'none' }],
    expected: ['no cut by a planned change'],
  },
  {
    off: 'claims',
    cells: [{ step: 'claim.insert', fault: 'none' }],
    expected: ['at most once'],
  },
  {
    off: 'read-back',
    cells: [{ step: 'configuration.transact', fault: 'answer-lost' }],
    expected: ['not run is true'],
  },
  {
    off: 'configuration-conditions',
    cells: [{ step: 'configuration.transact', fault: 'two-operators' }],
    expected: ['configuration in force everywhere, never back'],
  },
  {
    off: 'request-ids',
    cells: [{ step: 'engine.stream', fault: 'late-duplicate' }],
    expected: ['the whole answer to its own request'],
  },
  {
    off: 'resume-position',
    cells: [{ step: 'engine.resume', fault: 'none' }],
    expected: ['the whole answer to its own request'],
  },
  {
    off: 'leaving-word',
    cells: [{ step: 'membership.list', fault: 'none' }],
    expected: ['a leaving server gets no new work'],
  },
  {
    off: 'drain-wait',
    cells: [{ step: 'shutdown.wait', fault: 'none' }],
    expected: ['a planned stop cuts nothing'],
  },
];

/**
 * Runs a control until it finds what it has to.
 *
 * @param control the control
 * @param seed everything by chance follows from it
 */
export async function runControl(control: Control, seed: number): Promise<ControlResult> {
  for (let run = 0; run < MOST_RUNS; run++) {
    const runSeed = seed + SEED_SALT + run;
    const { violations } = await runCell(control.cells, runSeed, control.off);
    for (const { point, detail } of violations) {
      if (!control.expected.includes(point)) continue;
      return { control, runs: run + 1, found: { point, detail, seed: runSeed } };
    }
  }
  return { control, runs: MOST_RUNS, found: undefined };
}
