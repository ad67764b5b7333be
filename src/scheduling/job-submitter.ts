/**
 * Submits requests to the scheduler of their service, on this or another gateway. Gateways choose the
 * scheduling gateway from the peers that they see as ready. If they disagree for a moment, two
 * schedulers place requests of one service, which makes the load less even but is otherwise safe.
 *
 * A scheduler acknowledges each request. If it does not, all requests that were submitted to it fail
 * over to the next gateway in order, which adopts those that already run. If that one does not
 * acknowledge either, the gateway places the request itself.
 */
import type { Log } from '../events/index.js';
import type { HealthOutcome } from '../fleet/index.js';
import { setPeerTimeout, type Clock, type Timer } from '../task/index.js';
import type { Decision, EnginePlacement, Job } from './job.js';
import type { Scheduler } from './scheduler.js';

/** Timeout for the acknowledgement of a scheduler on another gateway, in ms. */
const ACK_TIMEOUT_MS = 40;
/** Time for which a scheduler is avoided after a timeout, in ms. */
const AVOID_MS = 500;

/** Schedulers that a request is submitted to before its gateway places it itself. */
const MAX_SUBMISSIONS = 2;

/** A gateway that may schedule. */
export interface SchedulingGateway {
  node: string;
  cores: number;
}

/** Messages to schedulers on other gateways. */
export type SchedulerMessage =
  | { kind: 'job.submit'; job: Job }
  /** Hands over a request that was placed by a scheduler that is lost. */
  | { kind: 'job.adopt'; job: Job; placement: EnginePlacement }
  | { kind: 'job.read'; id: string }
  | { kind: 'job.begun'; id: string }
  | { kind: 'job.finished'; id: string; outcome?: HealthOutcome | undefined };

/** Messages from schedulers on other gateways. */
export type SchedulerAnswer =
  | { kind: 'job.queued'; id: string }
  | { kind: 'job.placed'; id: string; placement: EnginePlacement }
  | DeclinedAnswer;

/** The answer for a request that was not placed. */
export interface DeclinedAnswer {
  kind: 'job.declined';
  id: string;
  reason: (Decision & { kind: 'declined' })['reason'];
  retryAfterMs: number;
  backlogMs: number;
}

/** Dependencies of the submitter. */
export interface JobSubmitterParts {
  clock: Clock;
  log: Log;
  node: string;
  zone: string;
  /**
   * The gateway that schedules a service.
   *
   * @param isAvoided whether a gateway recently timed out
   */
  schedulerOf(service: string, isAvoided: (node: string) => boolean): string;
  /** The scheduler in this process. */
  local(service: string): Scheduler;
  /** Sends to another gateway; returns false without a link. */
  send(node: string, message: SchedulerMessage): boolean;
}

/** A submitted request; its gateway reports the progress to the scheduler. */
export interface ScheduledJob {
  prefillCompleted(): void;
  firstTokenReceived(): void;
  /**
   * Ends the request, with or without an answer.
   *
   * @param outcome outcome at the last engine, if it is relevant to that engine's health
   */
  finished(outcome?: HealthOutcome): void;
}

/** Submits requests to schedulers. */
export interface JobSubmitter {
  submit(job: Omit<Job, 'id' | 'zone'>, onDecision: (decision: Decision) => void): ScheduledJob;
  answerReceived(node: string, answer: SchedulerAnswer): void;
  /** Fails over the requests that were submitted to a lost peer. */
  peerLost(node: string): void;
}

interface Submission {
  job: Job;
  onDecision: (decision: Decision) => void;
  /** Name of the gateway whose scheduler has the request. */
  scheduler: string;
  submittedAt: number;
  ackTimer: Timer | undefined;
  isDecided: boolean;
  placement: EnginePlacement | undefined;
  /** Number of schedulers that the request was submitted to. */
  submissions: number;
}

/**
 * Creates a submitter.
 *
 * @param parts the schedulers and the transport to them
 */
export function createJobSubmitter(parts: JobSubmitterParts): JobSubmitter {
  const { clock, log, node } = parts;
  const submissionById = new Map<string, Submission>();
  const avoidedUntil = new Map<string, number>();
  let counter = 0;

  function submitTo(submission: Submission, scheduler: string): void {
    submission.scheduler = scheduler;
    submission.submissions += 1;
    if (scheduler === node || submission.submissions > MAX_SUBMISSIONS) {
      submitLocally(submission);
      return;
    }
    if (!parts.send(scheduler, { kind: 'job.submit', job: withTimeLeft(submission) })) {
      submitLocally(submission);
      return;
    }
    submission.ackTimer = setPeerTimeout(clock, ACK_TIMEOUT_MS, () => {
      log.write('schedulerSilent', { peer: scheduler, request: submission.job.requestId });
      avoidedUntil.set(scheduler, clock.now() + AVOID_MS);
      failOverFrom(scheduler);
    });
  }

  function schedulerOf(service: string): string {
    return parts.schedulerOf(service, (peer) => (avoidedUntil.get(peer) ?? 0) > clock.now());
  }

  /** The job with its remaining times as of now. */
  function withTimeLeft({ job, submittedAt }: Submission): Job {
    const elapsedMs = clock.now() - submittedAt;
    return {
      ...job,
      aimLeftMs: job.aimLeftMs - elapsedMs,
      elapsedMs: job.elapsedMs + elapsedMs,
      timeLeftMs: job.timeLeftMs - elapsedMs,
    };
  }

  /** Moves all requests of a scheduler to the one that is next in order. */
  function failOverFrom(scheduler: string): void {
    for (const submission of submissionById.values()) {
      if (submission.scheduler !== scheduler) continue;
      submission.ackTimer?.cancel();
      submission.ackTimer = undefined;
      parts.send(scheduler, { kind: 'job.finished', id: submission.job.id });
      const next = schedulerOf(submission.job.service);
      if (submission.placement === undefined) submitTo(submission, next);
      else adoptAt(submission, submission.placement, next);
    }
  }

  function adoptAt(submission: Submission, placement: EnginePlacement, scheduler: string): void {
    submission.scheduler = scheduler;
    const { job } = submission;
    if (scheduler === node) parts.local(job.service).adopt(job, placement);
    else parts.send(scheduler, { kind: 'job.adopt', job, placement });
  }

  function submitLocally(submission: Submission): void {
    submission.scheduler = node;
    submission.ackTimer = undefined;
    const job = withTimeLeft(submission);
    parts.local(job.service).submit(job, (decision) => {
      decide(submission, decision);
    });
  }

  function decide(submission: Submission, decision: Decision): void {
    if (submission.isDecided) return;
    submission.isDecided = true;
    submission.ackTimer?.cancel();
    submission.ackTimer = undefined;
    if (decision.kind === 'placed') submission.placement = decision.placement;
    submission.onDecision(decision);
  }

  function reportProgress(submission: Submission, kind: 'job.read' | 'job.begun'): void {
    const { id, service } = submission.job;
    if (submission.scheduler !== node) {
      parts.send(submission.scheduler, { kind, id });
      return;
    }
    if (kind === 'job.read') parts.local(service).prefillCompleted(id);
    else parts.local(service).firstTokenReceived(id);
  }

  function finish(submission: Submission, outcome: HealthOutcome | undefined): void {
    const { id, service } = submission.job;
    if (submission.scheduler === node) parts.local(service).finished(id, outcome);
    else parts.send(submission.scheduler, { kind: 'job.finished', id, outcome });
  }

  return {
    submit(request, onDecision) {
      counter += 1;
      const job: Job = { ...request, id: `${node}/${counter}`, zone: parts.zone };
      const submission: Submission = {
        job,
        onDecision,
        scheduler: node,
        submittedAt: clock.now(),
        ackTimer: undefined,
        isDecided: false,
        placement: undefined,
        submissions: 0,
      };
      submissionById.set(job.id, submission);
      submitTo(submission, schedulerOf(job.service));
      return {
        prefillCompleted() {
          reportProgress(submission, 'job.read');
        },
        firstTokenReceived() {
          reportProgress(submission, 'job.begun');
        },
        finished(outcome) {
          if (!submissionById.delete(job.id)) return;
          submission.isDecided = true;
          submission.ackTimer?.cancel();
          finish(submission, outcome);
        },
      };
    },
    answerReceived(from, answer) {
      const submission = submissionById.get(answer.id);
      if (submission?.scheduler !== from) return;
      submission.ackTimer?.cancel();
      submission.ackTimer = undefined;
      if (answer.kind === 'job.queued') return;
      if (answer.kind === 'job.placed') {
        decide(submission, { kind: 'placed', placement: answer.placement });
        return;
      }
      const { reason, retryAfterMs, backlogMs } = answer;
      decide(submission, { kind: 'declined', reason, retryAfterMs, backlogMs });
    },
    peerLost(peer) {
      failOverFrom(peer);
    },
  };
}
