/**
 * One request at its scheduler, from its submission to its end.
 */
import type { Timer } from '../task/index.js';
import type { EngineModel } from './engine-model.js';
import type { Decision, EnginePlacement, Job } from './job.js';
import type { WaitingPrompt } from './reading-queue.js';

/** What a request is at. */
export type Stage = 'waiting' | 'reading' | 'read-directly' | 'transferred' | 'generating';

/** One request. */
export interface Entry extends WaitingPrompt {
  job: Job;
  submittedAt: number;
  /** When its first event was predicted on admission. */
  predictedAt: number;
  decided: (decision: Decision) => void;
  stage: Stage;
  /** Time that reading it takes at the engine that it waits for, as of when it began to wait, in ms:
   * working it out anew for each that waits took most of a decision's time. */
  queuedMs: number;
  /** The engine that it waits for, or that works on it. */
  engine: EngineModel | undefined;
  /** Gives up on a late request that could no longer end in time. */
  expiry: Timer | undefined;
  placement: EnginePlacement | undefined;
  /** When it was given to its engines. */
  placedAt: number;
  /** How often the engine that it waited for could not take it. */
  moves: number;
}

/**
 * Creates a request that waits for a decision.
 *
 * @param job what its gateway says of it
 * @param now the present time, in milliseconds
 * @param decided hears the decision
 */
export function createEntry(job: Job, now: number, decided: (decision: Decision) => void): Entry {
  const entry: Entry = {
    job,
    submittedAt: now,
    predictedAt: now,
    decided,
    stage: 'waiting',
    engine: undefined,
    expiry: undefined,
    placement: undefined,
    placedAt: now,
    moves: 0,
    rank: job.rank,
    isLate: false,
    readBy: now,
    queuedMs: 0,
    expectMs: () => entry.queuedMs,
  };
  return entry;
}
