/**
 * The scheduler's state of one request.
 */
import type { Timer } from '../task/index.js';
import type { EngineModel } from './engine-model.js';
import { isBound, resolvePlaceRank, type Decision, type EnginePlacement, type Job } from './job.js';
import type { WaitingPrompt } from './prefill-queue.js';

/** Processing stage of a request; `read-directly` is a local prefill on the decode engine. */
export type Stage = 'waiting' | 'reading' | 'read-directly' | 'transferred' | 'generating';

/** A request from its submission to its end; times are milliseconds on the scheduler's clock. */
export interface TrackedJob extends WaitingPrompt {
  job: Job;
  submittedAt: number;
  /** Time from the submission until the first event is due, in ms: the request's latency objective, the
   * later one of a reservation, or the deadline of a request that is bound. */
  objectiveMs: number;
  /** A long prompt that is queued for a later objective, since its size is behind. */
  isReserved: boolean;
  /** Counted as admitted. */
  isAdmitted: boolean;
  /** Estimated at admission. */
  expectedFirstTokenAt: number;
  onDecision: (decision: Decision) => void;
  stage: Stage;
  /** Estimated prefill time at `engine`, in ms; computed when the request is queued, since computing it
   * on each access is expensive. */
  prefillEstimateMs: number;
  /** The engine that the request waits for or runs on. */
  engine: EngineModel | undefined;
  /** Declines a late request that can no longer meet its deadline. */
  expiryTimer: Timer | undefined;
  placement: EnginePlacement | undefined;
  placedAt: number;
  /** How often the request was routed again because its engine became unavailable. */
  reroutes: number;
}

/**
 * Creates a request that waits for a decision.
 *
 * @param job the request as submitted by its gateway
 * @param now the current time, in milliseconds
 * @param onDecision called with the decision
 */
export function createTrackedJob(
  job: Job,
  now: number,
  onDecision: (decision: Decision) => void,
): TrackedJob {
  const tracked: TrackedJob = {
    job,
    submittedAt: now,
    objectiveMs: isBound(job) ? job.timeLeftMs : job.aimLeftMs,
    isReserved: false,
    isAdmitted: false,
    expectedFirstTokenAt: now,
    onDecision,
    stage: 'waiting',
    engine: undefined,
    expiryTimer: undefined,
    placement: undefined,
    placedAt: now,
    reroutes: 0,
    rank: resolvePlaceRank(job),
    isLate: false,
    dueAt: now,
    prefillEstimateMs: 0,
    prefillMs: () => tracked.prefillEstimateMs,
  };
  return tracked;
}
