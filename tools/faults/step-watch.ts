/**
 * Sees the steps that a run passes and calls a trap when the awaited one is reached, before or
 * after its effect.
 */
import type { Step } from '../../src/errors/index.js';
import type { FakeProcess } from './fakes/process.js';

/** Where a fault is to strike. */
export interface Trap {
  step: Step;
  /** Strikes once the effect at the other side has happened, not before the call leaves. */
  isAfterEffect: boolean;
  /** Not before this time of the run, in milliseconds. */
  notBefore: number;
  /** How many times the step is let pass first. */
  passes: number;
  spring(process: FakeProcess, server: string | undefined): void;
}

/** Sees the steps of one run. */
export interface StepWatch {
  /** A process is about to do a step. */
  reach(step: Step | undefined, process: FakeProcess, server?: string): void;
  /** The other side has just done its part of a step. */
  reachAfter(step: Step | undefined, process: FakeProcess, server?: string): void;
  set(trap: Trap): void;
  /** Steps passed so far. */
  seen(): ReadonlySet<Step>;
}

/**
 * Creates a watch without traps.
 *
 * @param now the time of the run
 */
export function createStepWatch(now: () => number): StepWatch {
  const traps = new Set<Trap>();
  const seen = new Set<Step>();

  function pass(step: Step, isAfter: boolean, process: FakeProcess, server?: string): void {
    seen.add(step);
    for (const trap of traps) {
      if (trap.step !== step || trap.isAfterEffect !== isAfter || now() < trap.notBefore) continue;
      if (process.isDead()) continue;
      trap.passes -= 1;
      if (trap.passes >= 0) continue;
      traps.delete(trap);
      trap.spring(process, server);
    }
  }

  return {
    reach(step, process, server) {
      if (step !== undefined) pass(step, false, process, server);
    },
    reachAfter(step, process, server) {
      if (step !== undefined) pass(step, true, process, server);
    },
    set(trap) {
      traps.add(trap);
    },
    seen: () => seen,
  };
}
