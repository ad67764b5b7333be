/**
 * Selects engines for requests with prompts: asks the service's scheduler for a placement, runs the
 * prefill if the placement names an engine for it, and passes its result to the generating engine.
 */
import type { RegisteredServer } from '../fleet/index.js';
import type { Decision, Job, Prompt, ScheduledJob } from '../scheduling/index.js';
import { hasReachedServer, resolveHealthOutcome, type ExchangeOutcome } from './health-outcome.js';
import type { PlacedServer, PlacementResult, PlacementContext, Placer } from './placer.js';
import type { PrefilledPrompt } from './protocol.js';
import { runPrefill, type PrefillOutcome } from './prefill.js';

/** Submits requests to schedulers, which may be at other gateways. */
export interface SchedulerClient {
  /** Submits a request; `decided` is called once, unless the job's `finished` is called first. */
  submit(job: Omit<Job, 'id' | 'zone'>, decided: (decision: Decision) => void): ScheduledJob;
}

/** Number of prefills of a request after which a failed one is not repeated. */
const MAX_PREFILLS = 3;

/** Timeout of a prefill, as a multiple of its expected duration. */
const PREFILL_TIMEOUT_FACTOR = 2;
/** Added to the timeout of a prefill, in ms, for queueing at the engine and delays on the way: a prefill
 * may have moved up behind others, and processors may be busy for several turns. */
const PREFILL_TIMEOUT_BASE_MS = 250;

/** Timeout of a prefill of unknown duration, as a share of the time left; the rest is for another
 * engine. */
const UNKNOWN_PREFILL_SHARE = 0.5;

/** Retry-After when the prefill failed, in ms. */
const PREFILL_FAILED_RETRY_MS = 200;

/** Urgency of generation at an engine for each rank of the route. */
const URGENCY_STEP = 2;
const MAX_URGENCY = 9;

/**
 * Creates the placer of one request.
 *
 * @param context the request
 * @param prompt its prompt
 * @param scheduler submits the request
 */
export function createEnginePlacer(
  context: PlacementContext,
  prompt: Prompt,
  scheduler: SchedulerClient,
): Placer {
  const excluded: string[] = [];
  let job: ScheduledJob | undefined;
  let prefilled: PrefilledPrompt | undefined;
  /** The engine that holds `prefilled`. */
  let holder: RegisteredServer | undefined;
  let prefills = 0;
  let hasPrefilled = false;

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
      job = scheduler.submit(
        {
          service: context.service,
          requestId: context.requestId ?? '',
          prompt,
          rank: context.rank,
          pauseMs: context.maxEventGapMs,
          elapsedMs: context.elapsedMs(),
          aimLeftMs: context.aimLeftMs(),
          timeLeftMs: context.timeLeftMs(),
          isReturn: context.isCallerRetry,
          isRead: prefilled !== undefined,
          version: context.requiredVersion(),
          excluded: [...excluded],
          paused: [...context.pausedServers()],
          avoided: context.avoidedServers(),
        },
        (decision) => {
          context.signal.removeEventListener('abort', abort);
          resolve(decision);
        },
      );
    });
  }

  /** Ends the request's job at the scheduler, with the outcome at its engine. */
  function endJob(outcome?: ExchangeOutcome): void {
    job?.finished(outcome === undefined ? undefined : resolveHealthOutcome(outcome));
    job = undefined;
  }

  async function place(): Promise<PlacementResult> {
    endJob();
    const decision = await submit();
    if (context.signal.aborted) return { kind: 'aborted' };
    if (decision.kind === 'declined') {
      const { reason, backlogMs } = decision;
      // paused engines were excluded, so the caller waits at least for the first of them
      const untilResumedMs = reason === 'no-engine' ? context.msUntilResumed() : 0;
      const retryAfterMs = Math.max(decision.retryAfterMs, untilResumedMs);
      return { kind: 'refused', reason, retryAfterMs, backlogMs };
    }
    const { reader: prefillId, generator: generatorId, expectedReadMs } = decision.placement;
    const generator = findAvailable(generatorId);
    if (generator === undefined) return exclude(generatorId);
    if (prefillId === undefined) return placed(generator, prefilled);
    const prefillEngine = findAvailable(prefillId);
    if (prefillEngine === undefined) return exclude(prefillId);
    return prefillAt(prefillEngine, generator, resolvePrefillTimeout(expectedReadMs));
  }

  /** An engine of a placement, unless it has begun to leave or pause since the decision. */
  function findAvailable(id: string): RegisteredServer | undefined {
    const server = context.find(id);
    return server === undefined || context.withholdReason(server) !== undefined
      ? undefined
      : server;
  }

  function resolvePrefillTimeout(expectedMs: number | undefined): number {
    if (expectedMs === undefined) return context.timeLeftMs() * UNKNOWN_PREFILL_SHARE;
    return PREFILL_TIMEOUT_BASE_MS + PREFILL_TIMEOUT_FACTOR * expectedMs;
  }

  function exclude(id: string): Promise<PlacementResult> {
    excluded.push(id);
    return place();
  }

  async function prefillAt(
    engine: RegisteredServer,
    generator: RegisteredServer,
    timeoutMs: number,
  ): Promise<PlacementResult> {
    // a further prefill after a successful one takes from the retry budget
    if (hasPrefilled && !context.mayRetry('read')) return refusePrefill();
    if (!context.renewPermits()) return refusePrefill();
    prefills += 1;
    const outcome = await runPrefill(context, engine, timeoutMs);
    if (outcome.kind === 'read') {
      job?.prefillCompleted();
      hasPrefilled = true;
      prefilled = { address: engine.address, handle: outcome.handle };
      holder = engine;
      // the prefilled prompt stays usable for another generator
      if (findAvailable(generator.id) === undefined) return exclude(generator.id);
      return placed(generator, prefilled);
    }
    if (outcome.kind === 'aborted') return { kind: 'aborted' };
    return afterFailedPrefill(engine, outcome);
  }

  function afterFailedPrefill(
    engine: RegisteredServer,
    outcome: Exclude<PrefillOutcome, { kind: 'read' | 'aborted' }>,
  ): Promise<PlacementResult> | PlacementResult {
    excluded.push(engine.id);
    endJob(outcome.kind);
    const isArrived = hasReachedServer(outcome.kind);
    if (isArrived) context.countAttempt();
    const isOver = prefills >= MAX_PREFILLS || (isArrived && !context.mayRetry('read'));
    return isOver ? refusePrefill() : place();
  }

  function refusePrefill(): PlacementResult {
    const retryAfterMs = PREFILL_FAILED_RETRY_MS;
    return { kind: 'refused', reason: 'prompt-not-read', retryAfterMs, backlogMs: 0 };
  }

  function placed(server: RegisteredServer, source: PrefilledPrompt | undefined): PlacedServer {
    // a stream that has begun is finished before others begin
    const rank = context.requiredVersion() === undefined ? context.rank : 0;
    const urgency = Math.min(MAX_URGENCY, rank * URGENCY_STEP);
    return { kind: 'placed', server, source, urgency };
  }

  return {
    place,
    answerBegun() {
      job?.firstTokenReceived();
    },
    sendEnded(placed, outcome) {
      // a generator that did not run the request has not fetched the prefilled prompt
      const { kind } = outcome;
      const isUnused = kind === 'declined' || !hasReachedServer(kind);
      if (!isUnused) prefilled = undefined;
      if (outcome.kind !== 'finished') excluded.push(placed.server.id);
      endJob(outcome.kind);
    },
    close() {
      endJob();
      if (prefilled !== undefined && holder !== undefined) context.release(prefilled, holder);
      prefilled = undefined;
    },
  };
}
