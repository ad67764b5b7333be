/**
 * Runs one call to a plain service. A repeatable call may be retried on another server; another call
 * is retried only while provably nothing was started.
 */
import { Err, type Result } from 'ts-results-es';
import type { EngineGroup, RequestClass, Team } from '../configuration/objects.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ServiceAnswer, ServiceCall } from '../ports/index.js';
import { wait, type Clock } from '../task/index.js';
import type { Backends } from './backend.js';
import type { Place, PlaceEnd, Placement, PlacementRequest } from './placement.js';
import { resolveOutcome, type Retries } from './retries.js';
import type { RetryBudget } from './retry-budget.js';

/** Why a call is given up at its deadline. */
const OVERDUE = 'the deadline passed before the call was answered';

/** A call to run. Times are on the node's clock. */
export interface ServiceJob {
  requestId: string;
  team: Team;
  requestClass: RequestClass;
  groups: readonly EngineGroup[];
  call: ServiceCall;
  arrivedAt: number;
  deadlineAt: number;
}

export interface ServiceCallParts {
  node: string;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  placement: Placement;
  backends: Backends;
  budget: RetryBudget;
  retries: Retries;
}

/** Runs once per call, after placement and before the first send; a failure ends the call unsent. */
export type BeforeSend = () => Promise<Failure | undefined>;

/** State of a call across its attempts. */
interface Progress {
  attempt: number;
  /** Retries spent on the call. */
  spent: number;
  avoid: string[];
  /** Whether `beforeSend` has succeeded. */
  isCleared: boolean;
  /** Whether any attempt may have started work. */
  mayHaveRun: boolean;
}

interface AttemptResult {
  result: Result<ServiceAnswer, Failure>;
  /** Whether the call must not be retried. */
  isFinal: boolean;
}

export interface ServiceCallRunner {
  run(
    job: ServiceJob,
    signal: AbortSignal,
    beforeSend: BeforeSend,
  ): Promise<Result<ServiceAnswer, Failure>>;
}

/**
 * Creates the runner of service calls of a node.
 *
 * @param parts placement, ports to servers and budgets
 */
export function createServiceCallRunner(parts: ServiceCallParts): ServiceCallRunner {
  const { clock, log, placement, backends, budget, retries } = parts;

  async function run(
    job: ServiceJob,
    signal: AbortSignal,
    beforeSend: BeforeSend,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const progress: Progress = {
      attempt: 0,
      spent: 0,
      avoid: [],
      isCleared: false,
      mayHaveRun: false,
    };
    budget.earn();
    for (;;) {
      progress.attempt += 1;
      const ended = await attempt(job, progress, signal, beforeSend);
      if (ended.result.isOk()) return ended.result;
      const failure = ended.result.error;
      if (failure.outcome === 'unknown') progress.mayHaveRun = true;
      if (ended.isFinal) return Err(resolveOutcome(failure, progress.mayHaveRun));
      const next = retries.decide({
        spent: progress.spent,
        failure,
        mayHaveRun: progress.mayHaveRun,
        repeatable: job.requestClass.repeatable,
        deadlineAt: job.deadlineAt,
        isAborted: signal.aborted,
        hasAvoided: progress.avoid.length > 0,
      });
      if (next.kind === 'final') return Err(next.failure);
      log.write('requestRetried', { requestId: job.requestId, attempt: progress.attempt, failure });
      progress.spent = next.spent;
      if (next.clearAvoided) progress.avoid = [];
      await wait(clock, next.pauseMs);
    }
  }

  async function attempt(
    job: ServiceJob,
    progress: Progress,
    signal: AbortSignal,
    beforeSend: BeforeSend,
  ): Promise<AttemptResult> {
    const request = createPlacementRequest(job, progress.attempt, progress.avoid);
    const placed = await placement.place(request, signal);
    if (placed.isErr()) return { result: placed, isFinal: false };
    const place = placed.value;
    const failure = await prepareSend(job, progress, beforeSend);
    if (failure !== undefined) {
      placement.release(request, place, createPlaceEnd('cancelled', 0));
      return { result: Err(failure), isFinal: true };
    }
    const result = await send(job, request, place, signal);
    if (result.isErr()) progress.avoid.push(place.server);
    return { result, isFinal: false };
  }

  /** Runs `beforeSend` once, then checks the deadline, which may have passed meanwhile. */
  async function prepareSend(
    job: ServiceJob,
    progress: Progress,
    beforeSend: BeforeSend,
  ): Promise<Failure | undefined> {
    if (!progress.isCleared) {
      const failure = await beforeSend();
      if (failure !== undefined) return failure;
      progress.isCleared = true;
    }
    return clock.now() >= job.deadlineAt ? deadlineExpired(parts.node) : undefined;
  }

  async function send(
    job: ServiceJob,
    request: PlacementRequest,
    place: Place,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const startedAt = clock.now();
    const controller = new AbortController();
    const abort = () => {
      controller.abort();
    };
    // Only a repeatable call is aborted when its caller disconnects.
    if (job.requestClass.repeatable) {
      if (signal.aborted) abort();
      signal.addEventListener('abort', abort, { once: true });
    }
    const timer = clock.after(job.deadlineAt - startedAt, () => {
      controller.abort(OVERDUE);
    });
    const service = backends.service(place.server, place.address);
    const answer = await service.call(job.call, controller.signal);
    timer.cancel();
    signal.removeEventListener('abort', abort);
    const result = answer.isOk() ? 'answered' : resolveResult(answer.error);
    placement.release(request, place, createPlaceEnd(result, clock.now() - startedAt));
    return controller.signal.reason === OVERDUE ? answer.mapErr(explainDeadline) : answer;
  }

  return { run };
}

function createPlacementRequest(
  job: ServiceJob,
  attempt: number,
  avoid: readonly string[],
): PlacementRequest {
  const { team, requestClass } = job;
  return {
    requestId: job.requestId,
    attempt,
    groups: job.groups,
    team: team.name,
    weight: team.weight,
    class: requestClass.name,
    priority: requestClass.priority,
    firstTokenBy: Math.min(job.arrivedAt + requestClass.firstTokenMs, job.deadlineAt),
    deadlineAt: job.deadlineAt,
    promptTokens: 0,
    expectedOutputTokens: 1,
    maxOutputTokens: 1,
    betweenTokensMs: requestClass.betweenTokensMs,
    prefixes: [],
    model: undefined,
    adapter: undefined,
    repeatable: requestClass.repeatable,
    avoid,
  };
}

function createPlaceEnd(result: PlaceEnd['result'], totalMs: number): PlaceEnd {
  return { result, promptTokens: 0, cachedTokens: 0, outputTokens: 1, totalMs };
}

function resolveResult(failure: Failure): PlaceEnd['result'] {
  return failure.outcome === 'not-run' ? 'refused' : 'cut';
}

/** Names the deadline as the reason of a call that was given up at it; its outcome stays. */
function explainDeadline(failure: Failure): Failure {
  if (failure.code !== 'cancelled') return failure;
  return { ...failure, code: 'deadline-expired', message: OVERDUE };
}

function deadlineExpired(node: string): Failure {
  return createRefusal({
    code: 'deadline-expired',
    message: 'the deadline passed before the call was sent',
    step: 'service.call',
    peer: node,
  });
}
