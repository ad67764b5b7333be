/**
 * One request at its scheduler, from its submission to its end.
 */
import type { Timer } from '../task/index.js';
import type { EngineModel } from './engine-model.js';
import type { Decision, EnginePlacement, Job } from './job.js';
import type { WaitingPrompt } from './prefill-queue.js';

/** What a request is at. */
export type Stage = 'waiting' | 'reading' | 'read-directly' | 'transferred' | 'generating';

/** One request. */
export interface TrackedJob extends WaitingPrompt {
  job: Job;
  submittedAt: number;
  /** When its first event was predicted on admission. */
  expectedFirstTokenAt: number;
  onDecision: (decision: Decision) => void;
  stage: Stage;
  /** Time that reading it takes at the engine that it waits for, as of when it began to wait, in ms:
   * working it out anew for each that waits took most of a decision's time. */
  prefillEstimateMs: number;
  /** The engine that it waits for, or that works on it. */
  engine: EngineModel | undefined;
  /** Gives up on a late request that could no longer end in time. */
  expiryTimer: Timer | undefined;
  placement: EnginePlacement | undefined;
  /** When it was given to its engines. */
  placedAt: number;
  /** How often the engine that it waited for could not take it. */
  reroutes: number;
}

/**
 * Creates a request that waits for a decision.
 *
 * @param job what its gateway says of it
 * @param now the present time, in milliseconds
 * @param decided hears the decision
 */
export function createTrackedJob(
  job: Job,
  now: number,
  decided: (decision: Decision) => void,
): TrackedJob {
  const entry: TrackedJob = {
    job,
    submittedAt: now,
    expectedFirstTokenAt: now,
    onDecision: decided,
    stage: 'waiting',
    engine: undefined,
    expiryTimer: undefined,
    placement: undefined,
    placedAt: now,
    reroutes: 0,
    rank: job.rank,
    isLate: false,
    dueAt: now,
    prefillEstimateMs: 0,
    prefillMs: () => entry.prefillEstimateMs,
  };
  return entry;
}
