/**
 * Finds engines for requests with prompts: asks the service's scheduler, has the prompt read where
 * the placement says so, and hands the generating engine what was read.
 */
import type { RegisteredServer } from '../fleet/index.js';
import type { Decision, Job, Prompt, ScheduledJob } from '../scheduling/index.js';
import { resolveHealthOutcome, type ExchangeEnd } from './health-outcome.js';
import type { PlacedServer, Placing, PlacingContext, Placer } from './placer.js';
import type { ReadPrompt } from './protocol.js';
import { readPrompt, type ReadOutcome } from './read-prompt.js';

/** Asks schedulers, wherever they are. */
export interface SchedulerClient {
  /** Submits a request; `decided` is called once, unless `finished` comes first. */
  submit(job: Omit<Job, 'id' | 'zone'>, decided: (decision: Decision) => void): ScheduledJob;
}

/** Sends that had the prompt read in vain and are repeated at most. */
const MAX_READS = 3;

/** How many times as long as expected a reading may take before the engine is let go. */
const READ_PATIENCE = 2;
/** What a reading may take in any case, in ms: a reading that moved up behind others at the engine,
 * and several turns of a busy processor on the way. */
const LEAST_READ_LIMIT_MS = 250;

/** Part of the time left that a read may take whose duration is unknown; the rest is for a second
 * engine. */
const UNKNOWN_READ_SHARE = 0.5;

/** Time after which a caller is told to come back when its prompt could not be read, in ms. */
const UNREAD_RETRY_MS = 200;

/** How urgent generation is at an engine, by rank of the route; reading comes after generating. */
const URGENCY_STEP = 2;
const MAX_URGENCY = 9;

/**
 * Creates the placer of one request.
 *
 * @param context the request and what it needs
 * @param prompt its prompt
 * @param scheduler asks for engines
 */
export function createEnginePlacer(
  context: PlacingContext,
  prompt: Prompt,
  scheduler: SchedulerClient,
): Placer {
  const excluded: string[] = [];
  let scheduled: ScheduledJob | undefined;
  let kept: ReadPrompt | undefined;
  /** Who has it. */
  let keeper: RegisteredServer | undefined;
  let reads = 0;
  let hasRead = false;

  function submit(): Promise<Decision> {
    return new Promise((resolve) => {
      const cancelled: Decision = {
        kind: 'declined',
        reason: 'cancelled',
        retryAfterMs: 0,
        backlogMs: 0,
      };
      if (context.signal.aborted) {
        resolve(cancelled);
        return;
      }
      function abort(): void {
        resolve(cancelled);
      }
      context.signal.addEventListener('abort', abort, { once: true });
      scheduled = scheduler.submit(
        {
          service: context.service,
          requestId: context.requestId ?? '',
          prompt,
          rank: context.rank,
          pauseMs: context.pauseMs,
          aimLeftMs: context.aimLeftMs(),
          timeLeftMs: context.timeLeftMs(),
          isReturn: context.isReturn,
          isRead: kept !== undefined,
          excluded: [...excluded, ...context.paused()],
          avoided: context.avoided(),
        },
        (decision) => {
          context.signal.removeEventListener('abort', abort);
          resolve(decision);
        },
      );
    });
  }

  /** Ends what the scheduler knows of the request, with what became of it at its engine. */
  function leave(end?: ExchangeEnd): void {
    scheduled?.finished(end === undefined ? undefined : resolveHealthOutcome(end));
    scheduled = undefined;
  }

  async function place(): Promise<Placing> {
    leave();
    const decision = await submit();
    if (context.signal.aborted) return { kind: 'aborted' };
    if (decision.kind === 'declined') {
      const { reason, backlogMs } = decision;
      // engines that asked for a pause were left out
      const untilResumedMs = reason === 'no-engine' ? context.msUntilResumed() : 0;
      const retryAfterMs = Math.max(decision.retryAfterMs, untilResumedMs);
      return { kind: 'refused', reason, retryAfterMs, backlogMs };
    }
    const { reader, generator, expectedReadMs } = decision.placement;
    const generating = findOpen(generator);
    if (generating === undefined) return exclude(generator);
    if (reader === undefined) return placed(generating, kept);
    const reading = findOpen(reader);
    if (reading === undefined) return exclude(reader);
    return readAt(reading, generating, resolveReadLimit(expectedReadMs));
  }

  /** An engine of a placement, unless it has come to want nothing since. */
  function findOpen(id: string): RegisteredServer | undefined {
    const server = context.find(id);
    return server === undefined || context.barrier(server) !== undefined ? undefined : server;
  }

  /** How long a read may take: of an engine whose pace is unknown, as long as it can be of use. */
  function resolveReadLimit(expectedMs: number | undefined): number {
    if (expectedMs === undefined) return context.timeLeftMs() * UNKNOWN_READ_SHARE;
    return LEAST_READ_LIMIT_MS + READ_PATIENCE * expectedMs;
  }

  function exclude(id: string): Promise<Placing> {
    excluded.push(id);
    return place();
  }

  async function readAt(
    reading: RegisteredServer,
    generating: RegisteredServer,
    limitMs: number,
  ): Promise<Placing> {
    // the first reading that succeeds is free; every further one is a send beyond the first
    if (hasRead && !context.mayAskAgain('read')) return refuseUnread();
    reads += 1;
    const outcome = await readPrompt(context, reading, limitMs);
    if (outcome.kind === 'read') {
      scheduled?.prefillCompleted();
      hasRead = true;
      kept = { address: reading.address, handle: outcome.handle };
      keeper = reading;
      // the prompt stays where it is until another engine generates from it
      if (findOpen(generating.id) === undefined) return exclude(generating.id);
      return placed(generating, kept);
    }
    if (outcome.kind === 'aborted') return { kind: 'aborted' };
    return afterFailedRead(reading, outcome);
  }

  function afterFailedRead(
    reading: RegisteredServer,
    outcome: Exclude<ReadOutcome, { kind: 'read' | 'aborted' }>,
  ): Promise<Placing> | Placing {
    excluded.push(reading.id);
    leave(outcome.kind);
    const isFree = outcome.kind === 'unsent' || outcome.kind === 'withheld';
    if (!isFree) context.countAttempt();
    const isOver = reads >= MAX_READS || (!isFree && !context.mayAskAgain('read'));
    return isOver ? refuseUnread() : place();
  }

  function refuseUnread(): Placing {
    const retryAfterMs = UNREAD_RETRY_MS;
    return { kind: 'refused', reason: 'prompt-not-read', retryAfterMs, backlogMs: 0 };
  }

  function placed(server: RegisteredServer, source: ReadPrompt | undefined): PlacedServer {
    const urgency = Math.min(MAX_URGENCY, context.rank * URGENCY_STEP);
    return { kind: 'placed', server, source, urgency };
  }

  return {
    place,
    begun() {
      scheduled?.firstTokenReceived();
    },
    sent(placed, outcome) {
      // a server that did not run the request has left the prompt where it was
      const { kind } = outcome;
      const isLeft = kind === 'unsent' || kind === 'withheld' || kind === 'declined';
      if (!isLeft) kept = undefined;
      if (outcome.kind !== 'finished') excluded.push(placed.server.id);
      leave(outcome.kind);
    },
    close() {
      leave();
      if (kept !== undefined && keeper !== undefined) context.release(kept, keeper);
      kept = undefined;
    },
  };
}
