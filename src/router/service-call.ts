/**
 * Runs one call to a plain service. A repeatable call may go on elsewhere; one that may not be
 * repeated is tried again only while provably nothing was started.
 */
import { Err, type Result } from 'ts-results-es';
import type { EngineGroup, RequestClass, Team } from '../configuration/objects.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ServiceAnswer, ServiceCall } from '../platform/index.js';
import type { Clock } from '../task/index.js';
import type { Backends } from './backend.js';
import type { Place, PlaceEnd, Placement, PlaceWish } from './placement.js';
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
  maxAttempts: number;
}

/** A gate that a call passes once, after it has a place and before it is sent. */
export type BeforeSend = () => Promise<Failure | undefined>;

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
  const { clock, log, metrics, placement, backends, budget } = parts;

  async function run(
    job: ServiceJob,
    signal: AbortSignal,
    beforeSend: BeforeSend,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const avoid: string[] = [];
    let isCleared = false;
    let mayHaveRun = false;
    budget.earn();
    for (let attempt = 1; ; attempt++) {
      const wish = createWish(job, attempt, avoid);
      const placed = await placement.place(wish, signal);
      if (placed.isErr()) return Err(withTrueOutcome(placed.error, mayHaveRun));
      const place = placed.value;
      if (!isCleared) {
        const stopped = await beforeSend();
        if (stopped !== undefined) {
          placement.release(wish, place, endOf('cancelled', 0));
          return Err(stopped);
        }
        isCleared = true;
      }
      const answer = await send(job, wish, place, signal);
      if (answer.isOk()) return answer;
      avoid.push(place.server);
      if (answer.error.outcome === 'unknown') mayHaveRun = true;
      const refusal = refuseRetry(job, attempt, answer.error, mayHaveRun, signal);
      if (refusal !== undefined) return Err(withTrueOutcome(refusal, mayHaveRun));
      metrics.retries.inc({ reason: answer.error.code });
      log.write('requestRetried', { requestId: job.requestId, attempt, failure: answer.error });
    }
  }

  async function send(
    job: ServiceJob,
    wish: PlaceWish,
    place: Place,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const startedAt = clock.now();
    const controller = new AbortController();
    const abort = () => {
      controller.abort();
    };
    // A call that may not be repeated is not cut short because its caller went away.
    if (job.requestClass.repeatable) signal.addEventListener('abort', abort, { once: true });
    const timer = clock.after(job.deadlineAt - startedAt, abort);
    const service = backends.service(place.server, place.address);
    const answer = await service.call(job.call, controller.signal);
    timer.cancel();
    signal.removeEventListener('abort', abort);
    const result = answer.isOk() ? 'answered' : resultOf(answer.error);
    placement.release(wish, place, endOf(result, clock.now() - startedAt));
    return answer;
  }

  function refuseRetry(
    job: ServiceJob,
    attempt: number,
    failure: Failure,
    mayHaveRun: boolean,
    signal: AbortSignal,
  ): Failure | undefined {
    if (signal.aborted || attempt >= parts.maxAttempts) return failure;
    if (mayHaveRun && !job.requestClass.repeatable) return failure;
    if (clock.now() >= job.deadlineAt) return late(parts.node);
    if (budget.spend()) return undefined;
    metrics.refusals.inc({ reason: 'retry-budget-spent', step: failure.step });
    return failure;
  }

  return { run };
}

function createWish(job: ServiceJob, attempt: number, avoid: readonly string[]): PlaceWish {
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

function withTrueOutcome(failure: Failure, mayHaveRun: boolean): Failure {
  return mayHaveRun ? { ...failure, outcome: 'unknown' } : failure;
}

function late(node: string): Failure {
  return createRefusal({
    code: 'deadline-expired',
    message: 'the deadline passed before the call was answered',
    step: 'service.call',
    peer: node,
  });
}
