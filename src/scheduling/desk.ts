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
import { afterSilence, type Clock, type Timer } from '../task/index.js';
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
export type DeskMessage =
  | { kind: 'job.submit'; job: Job }
  /** A request that was placed by a scheduler that is lost now. */
  | { kind: 'job.adopt'; job: Job; placement: EnginePlacement }
  | { kind: 'job.read'; id: string }
  | { kind: 'job.begun'; id: string }
  | { kind: 'job.finished'; id: string; outcome?: HealthOutcome | undefined };

/** Messages from schedulers at other gateways. */
export type DeskAnswer =
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

/** What the desk needs. */
export interface DeskParts {
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
  send(node: string, message: DeskMessage): boolean;
}

/** A request at its scheduler. */
export interface ScheduledJob {
  /** Its prompt was read. */
  promptRead(): void;
  /** The first event has come. */
  begun(): void;
  /**
   * It has ended.
   *
   * @param outcome what became of it at the engine that had it last, where that says something of it
   */
  finished(outcome?: HealthOutcome): void;
}

/** Where gateways hand their requests in. */
export interface Desk {
  submit(job: Omit<Job, 'id' | 'zone'>, decided: (decision: Decision) => void): ScheduledJob;
  /** A word of another gateway's scheduler. */
  answered(node: string, answer: DeskAnswer): void;
  /** A peer was lost: what it had is placed here. */
  lost(node: string): void;
}

interface Ticket {
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
 * Creates a desk.
 *
 * @param parts the schedulers and the way to them
 */
export function createDesk(parts: DeskParts): Desk {
  const { clock, log, node } = parts;
  const tickets = new Map<string, Ticket>();
  const avoidedUntil = new Map<string, number>();
  let counter = 0;

  function submitAt(ticket: Ticket, at: string): void {
    ticket.at = at;
    ticket.asked += 1;
    if (at === node || ticket.asked > MAX_ASKED) {
      submitHere(ticket);
      return;
    }
    if (!parts.send(at, { kind: 'job.submit', job: withTimeLeft(ticket) })) {
      submitHere(ticket);
      return;
    }
    ticket.silence = afterSilence(clock, SILENCE_MS, () => {
      log.write('schedulerSilent', { peer: at, request: ticket.job.requestId });
      avoidedUntil.set(at, clock.now() + AVOID_MS);
      moveFrom(at);
    });
  }

  function schedulerOf(service: string): string {
    return parts.schedulerOf(service, (peer) => (avoidedUntil.get(peer) ?? 0) > clock.now());
  }

  /** The job with the times that are left of it. */
  function withTimeLeft({ job, submittedAt }: Ticket): Job {
    const spentMs = clock.now() - submittedAt;
    return {
      ...job,
      aimLeftMs: job.aimLeftMs - spentMs,
      timeLeftMs: job.timeLeftMs - spentMs,
    };
  }

  /** Hands everything that a scheduler had to the one that is drawn now. */
  function moveFrom(from: string): void {
    for (const ticket of tickets.values()) {
      if (ticket.at !== from) continue;
      ticket.silence?.cancel();
      ticket.silence = undefined;
      parts.send(from, { kind: 'job.finished', id: ticket.job.id });
      const next = schedulerOf(ticket.job.service);
      if (ticket.placement === undefined) submitAt(ticket, next);
      else adoptAt(ticket, ticket.placement, next);
    }
  }

  function adoptAt(ticket: Ticket, placement: EnginePlacement, at: string): void {
    ticket.at = at;
    const { job } = ticket;
    if (at === node) parts.local(job.service).adopt(job, placement);
    else parts.send(at, { kind: 'job.adopt', job, placement });
  }

  function submitHere(ticket: Ticket): void {
    ticket.at = node;
    ticket.silence = undefined;
    const job = withTimeLeft(ticket);
    parts.local(job.service).submit(job, (decision) => {
      decide(ticket, decision);
    });
  }

  function decide(ticket: Ticket, decision: Decision): void {
    if (ticket.isDecided) return;
    ticket.isDecided = true;
    ticket.silence?.cancel();
    ticket.silence = undefined;
    if (decision.kind === 'placed') ticket.placement = decision.placement;
    ticket.decided(decision);
  }

  function tell(ticket: Ticket, kind: 'job.read' | 'job.begun'): void {
    const { id, service } = ticket.job;
    if (ticket.at !== node) {
      parts.send(ticket.at, { kind, id });
      return;
    }
    if (kind === 'job.read') parts.local(service).promptRead(id);
    else parts.local(service).begun(id);
  }

  function finish(ticket: Ticket, outcome: HealthOutcome | undefined): void {
    const { id, service } = ticket.job;
    if (ticket.at === node) parts.local(service).finished(id, outcome);
    else parts.send(ticket.at, { kind: 'job.finished', id, outcome });
  }

  return {
    submit(request, decided) {
      counter += 1;
      const job: Job = { ...request, id: `${node}/${counter}`, zone: parts.zone };
      const ticket: Ticket = {
        job,
        decided,
        at: node,
        submittedAt: clock.now(),
        silence: undefined,
        isDecided: false,
        placement: undefined,
        asked: 0,
      };
      tickets.set(job.id, ticket);
      submitAt(ticket, schedulerOf(job.service));
      return {
        promptRead() {
          tell(ticket, 'job.read');
        },
        begun() {
          tell(ticket, 'job.begun');
        },
        finished(outcome) {
          if (!tickets.delete(job.id)) return;
          ticket.isDecided = true;
          ticket.silence?.cancel();
          finish(ticket, outcome);
        },
      };
    },
    answered(from, answer) {
      const ticket = tickets.get(answer.id);
      if (ticket?.at !== from) return;
      ticket.silence?.cancel();
      ticket.silence = undefined;
      if (answer.kind === 'job.queued') return;
      if (answer.kind === 'job.placed') {
        decide(ticket, { kind: 'placed', placement: answer.placement });
        return;
      }
      const { reason, retryAfterMs, backlogMs } = answer;
      decide(ticket, { kind: 'declined', reason, retryAfterMs, backlogMs });
    },
    lost(from) {
      moveFrom(from);
    },
  };
}
