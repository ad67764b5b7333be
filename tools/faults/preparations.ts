/**
 * Some steps are done only after something went wrong or was planned: a lost answer before a
 * read-back, a silent node before its lease is declared lapsed. This brings such steps about in the
 * cells that are to disturb them.
 */
import type { Step } from '../../src/errors/index.js';
import type { TablePurpose } from '../../src/node/environment.js';
import type { RandomSource } from '../../src/task/index.js';
import { between } from './chance.js';
import { nodeNames } from './fleet.js';
import { WORK_FROM } from './workload.js';
import type { World } from './world.js';

const EVERY_MS = 350;
const TIMES = 14;

/** Steps that come once in a run, if at all: the fault strikes at the first. */
const rareSteps: readonly Step[] = [
  'lease.lapse',
  'lease.join',
  'shard.take',
  'shard.release',
  'shutdown.announce',
  'shutdown.wait',
  'drain.wait',
  'configuration.read-back',
];

/**
 * Whether a fault at a step has to strike at its first occurrence.
 *
 * @param step the step
 */
export function isRare(step: Step): boolean {
  return rareSteps.includes(step);
}

/**
 * Whether a step is one of an order; they come a few times in a run, and the first matter most.
 *
 * @param step the step
 */
export function isOrder(step: Step): boolean {
  return step.startsWith('order.');
}

/** Steps that are brought about by breaking something. */
const brokenSteps: readonly Step[] = [
  'engine.resume',
  'lease.lapse',
  'lease.join',
  'shard.take',
  'claim.read-back',
  'configuration.read-back',
];

/**
 * Whether a step is brought about by breaking something.
 *
 * @param step the step
 */
export function isBrokenFor(step: Step): boolean {
  return brokenSteps.includes(step);
}

/**
 * Brings a step about.
 *
 * @param step the step that a fault is to disturb
 * @param world the world before its time begins
 * @param random the source of choices
 */
export function prepare(step: Step, world: World, random: RandomSource): void {
  if (step === 'claim.read-back') loseAnswers(world, 'claims');
  if (step === 'configuration.read-back') loseAnswers(world, 'configuration');
  if (step === 'engine.resume') breakStreams(world);
  if (step === 'lease.lapse' || step === 'lease.join' || step === 'shard.take') {
    world.time.after(WORK_FROM + between(0, 400, random), () => {
      replaceAbruptly(world, 'n1');
    });
  }
}

/** Answers are lost after their effect, in all nodes, now and again. */
function loseAnswers(world: World, purpose: TablePurpose): void {
  for (let count = 0; count < TIMES; count++) {
    world.time.after(WORK_FROM + count * EVERY_MS, () => {
      for (const name of nodeNames) world.table.disturb(name, purpose, { dropAnswer: true }, {});
    });
  }
}

function breakStreams(world: World): void {
  for (let count = 0; count < TIMES; count++) {
    world.time.after(WORK_FROM + count * EVERY_MS, () => {
      for (const engine of world.engines.values()) engine.breakStreams();
    });
  }
}

function replaceAbruptly(world: World, name: string): void {
  world.kill(name);
  world.time.after(5_500, () => {
    if (world.nodes.get(name)?.process.isDead() === true) void world.start(name);
  });
}
