/**
 * Submits requests to the scheduler of their service, at whichever gateway it is. All gateways
 * agree on that gateway from the peers that they hear; where they disagree for a moment, two
 * schedulers place requests of one service, which costs balance and nothing else.
 *
 * A scheduler answers at once that it has a request. Where it does not, everything that was submitted
 * to it moves to the gateway that is drawn next, which is told what already runs; where that is
 * silent too, the gateway places the request by itself. So a frozen or lost peer costs callers a few
 * tens of milliseconds.
 */
import type { Log } from '../events/index.js';
import type { HealthOutcome } from '../fleet/index.js';
import { setPeerTimeout, type Clock, type Timer } from '../task/index.js';
import type { Decision, EnginePlacement, Job } from './job.js';
import type { Scheduler } from './scheduler.js';

/** How long a scheduler at another gateway may take to say that it has a request, in ms: some ways
 * there and back between availability zones, and its processor's turn. */
const SILENCE_MS = 40;
/** A scheduler that was silent is not asked for so long, in ms; then one request tries it. */
const AVOID_MS = 500;

/** Schedulers that are asked for one request before its gateway places it alone. */
const MAX_ASKED = 2;

/** A gateway that may schedule. */
export interface SchedulingGateway {
  node: string;
  cores: number;
}

/** Messages to schedulers at other gateways. */
export type SchedulerMessage =
  | { kind: 'job.submit'; job: Job }
  /** A request that was placed by a scheduler that is lost now. */
  | { kind: 'job.adopt'; job: Job; placement: EnginePlacement }
  | { kind: 'job.read'; id: string }
  | { kind: 'job.begun'; id: string }
  | { kind: 'job.finished'; id: string; outcome?: HealthOutcome | undefined };

/** Messages from schedulers at other gateways. */
export type SchedulerAnswer =
  | { kind: 'job.queued'; id: string }
  | { kind: 'job.placed'; id: string; placement: EnginePlacement }
  | DeclinedAnswer;

/** A request that got no engines. */
export interface DeclinedAnswer {
  kind: 'job.declined';
  id: string;
  reason: (Decision & { kind: 'declined' })['reason'];
  retryAfterMs: number;
  backlogMs: number;
}

/** What the submitter needs. */
export interface JobSubmitterParts {
  clock: Clock;
  log: Log;
  node: string;
  zone: string;
  /**
   * The gateway that schedules a service now.
   *
   * @param isAvoided whether a gateway was silent lately
   */
  schedulerOf(service: string, isAvoided: (node: string) => boolean): string;
  /** The scheduler in this process. */
  local(service: string): Scheduler;
  /** Sends to another gateway; false when there is no link. */
  send(node: string, message: SchedulerMessage): boolean;
}

/** A request at its scheduler. */
export interface ScheduledJob {
  /** Its prompt was read. */
  prefillCompleted(): void;
  /** The first event has come. */
  firstTokenReceived(): void;
  /**
   * It has ended.
   *
   * @param outcome what became of it at the engine that had it last, where that says something of it
   */
  finished(outcome?: HealthOutcome): void;
}

/** Where gateways hand their requests in. */
export interface JobSubmitter {
  submit(job: Omit<Job, 'id' | 'zone'>, decided: (decision: Decision) => void): ScheduledJob;
  /** A word of another gateway's scheduler. */
  answerReceived(node: string, answer: SchedulerAnswer): void;
  /** A peer was lost: what it had is placed here. */
  peerLost(node: string): void;
}

interface Submission {
  job: Job;
  decided: (decision: Decision) => void;
  /** Where it is: a peer's name, or this gateway's own. */
  at: string;
  submittedAt: number;
  silence: Timer | undefined;
  isDecided: boolean;
  placement: EnginePlacement | undefined;
  /** Schedulers that were asked for it. */
  asked: number;
}

/**
 * Creates a submitter.
 *
 * @param parts the schedulers and the way to them
 */
export function createJobSubmitter(parts: JobSubmitterParts): JobSubmitter {
  const { clock, log, node } = parts;
  const submissions = new Map<string, Submission>();
  const avoidedUntil = new Map<string, number>();
  let counter = 0;

  function submitAt(submission: Submission, at: string): void {
    submission.at = at;
    submission.asked += 1;
    if (at === node || submission.asked > MAX_ASKED) {
      submitHere(submission);
      return;
    }
    if (!parts.send(at, { kind: 'job.submit', job: withTimeLeft(submission) })) {
      submitHere(submission);
      return;
    }
    submission.silence = setPeerTimeout(clock, SILENCE_MS, () => {
      log.write('schedulerSilent', { peer: at, request: submission.job.requestId });
      avoidedUntil.set(at, clock.now() + AVOID_MS);
      moveFrom(at);
    });
  }

  function schedulerOf(service: string): string {
    return parts.schedulerOf(service, (peer) => (avoidedUntil.get(peer) ?? 0) > clock.now());
  }

  /** The job with the times that are left of it. */
  function withTimeLeft({ job, submittedAt }: Submission): Job {
    const spentMs = clock.now() - submittedAt;
    return {
      ...job,
      aimLeftMs: job.aimLeftMs - spentMs,
      timeLeftMs: job.timeLeftMs - spentMs,
    };
  }

  /** Hands everything that a scheduler had to the one that is drawn now. */
  function moveFrom(from: string): void {
    for (const submission of submissions.values()) {
      if (submission.at !== from) continue;
      submission.silence?.cancel();
      submission.silence = undefined;
      parts.send(from, { kind: 'job.finished', id: submission.job.id });
      const next = schedulerOf(submission.job.service);
      if (submission.placement === undefined) submitAt(submission, next);
      else adoptAt(submission, submission.placement, next);
    }
  }

  function adoptAt(submission: Submission, placement: EnginePlacement, at: string): void {
    submission.at = at;
    const { job } = submission;
    if (at === node) parts.local(job.service).adopt(job, placement);
    else parts.send(at, { kind: 'job.adopt', job, placement });
  }

  function submitHere(submission: Submission): void {
    submission.at = node;
    submission.silence = undefined;
    const job = withTimeLeft(submission);
    parts.local(job.service).submit(job, (decision) => {
      decide(submission, decision);
    });
  }

  function decide(submission: Submission, decision: Decision): void {
    if (submission.isDecided) return;
    submission.isDecided = true;
    submission.silence?.cancel();
    submission.silence = undefined;
    if (decision.kind === 'placed') submission.placement = decision.placement;
    submission.decided(decision);
  }

  function tell(submission: Submission, kind: 'job.read' | 'job.begun'): void {
    const { id, service } = submission.job;
    if (submission.at !== node) {
      parts.send(submission.at, { kind, id });
      return;
    }
    if (kind === 'job.read') parts.local(service).prefillCompleted(id);
    else parts.local(service).firstTokenReceived(id);
  }

  function finish(submission: Submission, outcome: HealthOutcome | undefined): void {
    const { id, service } = submission.job;
    if (submission.at === node) parts.local(service).finished(id, outcome);
    else parts.send(submission.at, { kind: 'job.finished', id, outcome });
  }

  return {
    submit(request, decided) {
      counter += 1;
      const job: Job = { ...request, id: `${node}/${counter}`, zone: parts.zone };
      const submission: Submission = {
        job,
        decided,
        at: node,
        submittedAt: clock.now(),
        silence: undefined,
        isDecided: false,
        placement: undefined,
        asked: 0,
      };
      submissions.set(job.id, submission);
      submitAt(submission, schedulerOf(job.service));
      return {
        prefillCompleted() {
          tell(submission, 'job.read');
        },
        firstTokenReceived() {
          tell(submission, 'job.begun');
        },
        finished(outcome) {
          if (!submissions.delete(job.id)) return;
          submission.isDecided = true;
          submission.silence?.cancel();
          finish(submission, outcome);
        },
      };
    },
    answerReceived(from, answer) {
      const submission = submissions.get(answer.id);
      if (submission?.at !== from) return;
      submission.silence?.cancel();
      submission.silence = undefined;
      if (answer.kind === 'job.queued') return;
      if (answer.kind === 'job.placed') {
        decide(submission, { kind: 'placed', placement: answer.placement });
        return;
      }
      const { reason, retryAfterMs, backlogMs } = answer;
      decide(submission, { kind: 'declined', reason, retryAfterMs, backlogMs });
    },
    peerLost(from) {
      moveFrom(from);
    },
  };
}
