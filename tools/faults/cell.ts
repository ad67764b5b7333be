/**
 * Runs one cell of the matrix once: one or two faults, each at a step, in a world of its own.
 */
import type { Step } from '../../src/errors/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { between, pickFrom } from './chance.js';
import type { FakeProcess } from './fakes/process.js';
import { inject, type Fault } from './faults.js';
import { nodeNames } from './fleet.js';
import { judge } from './judge.js';
import type { Mechanism } from './mechanisms.js';
import type { Point, Violation } from './points.js';
import { isBrokenFor, isOrder, isRare, prepare } from './preparations.js';
import { createWorkload, RUN_UNTIL, WORK_FROM, type Workload } from './workload.js';
import { createWorld, type World } from './world.js';

const LATEST_STRIKE_MS = 6_200;
const MOST_PASSES = 4;
/** Share of runs in which a fault at an order strikes the first one. */
const EARLY_ORDER_SHARE = 0.7;
/** Faults strike from the beginning of the work on, at the latest from this time after it. */
const STRIKE_FROM_MS = 3_500;

/** A fault at a step. */
export interface Cell {
  step: Step;
  fault: Fault;
  /** Strikes the first time before the effect, and lasts as long as it can. */
  isHardest?: boolean;
}

/** What came of one run. */
export interface RunOutcome {
  seed: number;
  violations: Violation[];
  /** How often each invariant was put to the test. */
  checks: Map<Point, number>;
  /** Whether the fault struck while the step was being done. */
  struck: boolean;
  /** How many requests were answered, of how many. */
  answered: number;
  asked: number;
}

/**
 * Runs a cell once.
 *
 * @param cells the faults that strike, one or two
 * @param seed everything by chance follows from it
 * @param off the mechanism that a control switches off
 */
export async function runCell(
  cells: readonly Cell[],
  seed: number,
  off?: Mechanism,
): Promise<RunOutcome> {
  const random = createSeededRandom(seed ^ 0x5bd1e995);
  const world = createWorld(seed, off);
  const workload = createWorkload(world, random);
  let struck = 0;
  for (const name of nodeNames) void world.start(name);
  for (const cell of cells) {
    prepare(cell.step, world, random);
    setTrap(cell, world, workload, random, () => {
      struck += 1;
    });
  }
  await world.time.runUntil(RUN_UNTIL);
  const { history } = workload;
  const isUndisturbed = cells.every(({ step, fault }) => fault === 'none' && !isBrokenFor(step));
  const { violations, checks } = judge(world, history, isUndisturbed);
  for (const name of nodeNames) world.kill(name);
  let answered = 0;
  for (const { told } of history.attempts) if (told.kind === 'answered') answered += 1;
  return {
    seed,
    violations,
    checks,
    struck: struck === cells.length,
    answered,
    asked: history.attempts.length,
  };
}

function setTrap(
  cell: Cell,
  world: World,
  workload: Workload,
  random: ReturnType<typeof createSeededRandom>,
  reached: () => void,
): void {
  let isSprung = false;
  const isHardest = cell.isHardest === true;
  const strike = (process: FakeProcess, server: string | undefined) => {
    isSprung = true;
    inject(cell.fault, { world, workload, random, process, server, isLongest: isHardest });
  };
  const isEarly =
    isHardest || isRare(cell.step) || (isOrder(cell.step) && random.next() < EARLY_ORDER_SHARE);
  world.watch.set({
    step: cell.step,
    isAfterEffect: random.next() < 0.5 && !isHardest,
    notBefore: WORK_FROM + (isEarly ? 0 : between(0, STRIKE_FROM_MS, random)),
    passes: isEarly ? 0 : Math.floor(random.next() * MOST_PASSES),
    spring: (process, server) => {
      if (isSprung) return;
      reached();
      strike(process, server);
    },
  });
  // Steps with no effect at another side, and rare ones, are met before or not at all.
  world.watch.set({
    step: cell.step,
    isAfterEffect: false,
    notBefore: WORK_FROM + STRIKE_FROM_MS,
    passes: 0,
    spring: (process, server) => {
      if (isSprung) return;
      reached();
      strike(process, server);
    },
  });
  world.time.after(WORK_FROM + LATEST_STRIKE_MS, () => {
    const name = pickFrom(nodeNames, random) ?? 'n1';
    const process = world.nodes.get(name)?.process;
    if (!isSprung && process !== undefined && !process.isDead()) strike(process, undefined);
  });
}
