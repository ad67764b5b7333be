/**
 * Runs one call to a plain service. A repeatable call may go on elsewhere; one that may not be
 * repeated is tried again only while provably nothing was started.
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

/** A call as the caller front hands it over. Times are on the node's clock. */
export interface ServiceJob {
  requestId: string;
  team: Team;
  requestClass: RequestClass;
  groups: readonly EngineGroup[];
  call: ServiceCall;
  arrivedAt: number;
  deadlineAt: number;
}

/** What running calls needs. */
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

/** A gate that a call passes once, after it has a place and before it is sent. */
export type BeforeSend = () => Promise<Failure | undefined>;

/** What is remembered of a call over its attempts. */
interface Progress {
  attempt: number;
  /** Retries that were spent on it. */
  spent: number;
  avoid: string[];
  /** Whether the gate before the first sending was passed. */
  isCleared: boolean;
  /** Whether any attempt may have started work. */
  mayHaveRun: boolean;
}

/** How an attempt ended; `isFinal` when no other may follow. */
interface Ended {
  result: Result<ServiceAnswer, Failure>;
  isFinal: boolean;
}

/** Runs calls. */
export interface ServiceCallRunner {
  /** @param beforeSend called before the first sending; its failure ends the call unsent */
  run(
    job: ServiceJob,
    signal: AbortSignal,
    beforeSend: BeforeSend,
  ): Promise<Result<ServiceAnswer, Failure>>;
}

/**
 * Creates the runner of a node.
 *
 * @param parts placement, connections and budgets
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
  ): Promise<Ended> {
    const wish = createWish(job, progress.attempt, progress.avoid);
    const placed = await placement.place(wish, signal);
    if (placed.isErr()) return { result: placed, isFinal: false };
    const place = placed.value;
    const stopped = await clear(job, progress, beforeSend);
    if (stopped !== undefined) {
      placement.release(wish, place, endOf('cancelled', 0));
      return { result: Err(stopped), isFinal: true };
    }
    const result = await send(job, wish, place, signal);
    if (result.isErr()) progress.avoid.push(place.server);
    return { result, isFinal: false };
  }

  /** Passes the gate once; afterwards a call that became late meanwhile is not sent any more. */
  async function clear(
    job: ServiceJob,
    progress: Progress,
    beforeSend: BeforeSend,
  ): Promise<Failure | undefined> {
    if (!progress.isCleared) {
      const stopped = await beforeSend();
      if (stopped !== undefined) return stopped;
      progress.isCleared = true;
    }
    return clock.now() >= job.deadlineAt ? late(parts.node) : undefined;
  }

  async function send(
    job: ServiceJob,
    wish: PlacementRequest,
    place: Place,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const startedAt = clock.now();
    const controller = new AbortController();
    const abort = () => {
      controller.abort();
    };
    // A call that may not be repeated is not cut short because its caller went away.
    if (job.requestClass.repeatable) {
      if (signal.aborted) abort();
      signal.addEventListener('abort', abort, { once: true });
    }
    const timer = clock.after(job.deadlineAt - startedAt, abort);
    const service = backends.service(place.server, place.address);
    const answer = await service.call(job.call, controller.signal);
    timer.cancel();
    signal.removeEventListener('abort', abort);
    const result = answer.isOk() ? 'answered' : resultOf(answer.error);
    placement.release(wish, place, endOf(result, clock.now() - startedAt));
    return answer;
  }

  return { run };
}

function createWish(job: ServiceJob, attempt: number, avoid: readonly string[]): PlacementRequest {
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

function endOf(result: PlaceEnd['result'], totalMs: number): PlaceEnd {
  return { result, promptTokens: 0, cachedTokens: 0, outputTokens: 1, totalMs };
}

function resultOf(failure: Failure): PlaceEnd['result'] {
  return failure.outcome === 'not-run' ? 'refused' : 'cut';
}

function late(node: string): Failure {
  return createRefusal({
    code: 'deadline-expired',
    message: 'the deadline passed before the call was sent',
    step: 'service.call',
    peer: node,
  });
}
