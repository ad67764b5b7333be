/**
 * Runs one generation to its end: finds a place, streams from the engine, and, when the stream is
 * cut, goes on elsewhere at the token where it broke. Chunks are checked against the request's id
 * and position, so the caller gets each token of its own answer once.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EngineGroup, RequestClass, Team } from '../configuration/objects.js';
import { createUnknownOutcome, createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import { resolveEnginePriority } from '../permits/engine-priority.js';
import type { EngineChunk, EngineRequest, EngineStream } from '../ports/index.js';
import { wait, type Clock } from '../task/index.js';
import type { Backends } from './backend.js';
import { handOver } from './handover.js';
import type { OutputEstimate } from '../permits/output-estimate.js';
import type { Place, PlaceEnd, Placement, PlacementRequest } from './placement.js';
import type { Retries, FailedAttempt } from './retries.js';
import type { RetryBudget } from './retry-budget.js';
import { createWatchdog, type Watchdog } from './watchdog.js';

/** A generation as the caller front hands it over. Times are on the node's clock. */
export interface CompletionJob {
  requestId: string;
  team: Team;
  requestClass: RequestClass;
  groups: readonly EngineGroup[];
  model: string;
  adapter: string | undefined;
  prompt: string;
  promptTokens: number;
  prefixes: readonly string[];
  maxTokens: number;
  arrivedAt: number;
  deadlineAt: number;
}

/** What running generations needs. */
export interface CompletionParts {
  node: string;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  placement: Placement;
  backends: Backends;
  budget: RetryBudget;
  estimate: OutputEstimate;
  retries: Retries;
}

/** Tokens of an answer; an error value is always the last item. */
export type CompletionStream = AsyncGenerator<Result<EngineChunk, Failure>, void, void>;

/** A stream that gives nothing for this many times the class's token time is taken for broken. */
const STALL_FACTOR = 20;
const MIN_STALL_MS = 2_000;

/** What is remembered of a job over its attempts. */
interface Progress {
  attempt: number;
  /** Retries that were spent on it. */
  spent: number;
  delivered: number;
  /** Whether any attempt may have started work. */
  mayHaveRun: boolean;
  avoid: string[];
  lastTokenAt: number | undefined;
}

/** Runs generations. */
export interface CompletionRunner {
  run(job: CompletionJob, signal: AbortSignal): CompletionStream;
}

/**
 * Creates the runner of a node.
 *
 * @param parts placement, connections and budgets
 */
export function createCompletionRunner(parts: CompletionParts): CompletionRunner {
  const { clock, log, metrics, placement, backends, budget, estimate, retries } = parts;

  async function* run(job: CompletionJob, signal: AbortSignal): CompletionStream {
    const progress: Progress = {
      attempt: 0,
      spent: 0,
      delivered: 0,
      mayHaveRun: false,
      avoid: [],
      lastTokenAt: undefined,
    };
    budget.earn();
    for (;;) {
      progress.attempt += 1;
      const failure = yield* attempt(job, progress, signal);
      if (failure === undefined) return;
      if (failure.outcome === 'unknown' || progress.delivered > 0) progress.mayHaveRun = true;
      const next = retries.decide(describeRetry(job, progress, failure, signal));
      if (next.kind === 'final') {
        yield Err(next.failure);
        return;
      }
      const { requestId } = job;
      log.write('requestRetried', { requestId, attempt: progress.attempt, failure });
      progress.spent = next.spent;
      if (next.clearAvoided) progress.avoid = [];
      await wait(clock, next.pauseMs);
    }
  }

  /** @returns the failure that ended the attempt, or `undefined` after the whole answer. */
  async function* attempt(
    job: CompletionJob,
    progress: Progress,
    signal: AbortSignal,
  ): AsyncGenerator<Result<EngineChunk, Failure>, Failure | undefined, void> {
    const wish = createWish(job, progress);
    const placed = await placement.place(wish, signal);
    if (placed.isErr()) return placed.error;
    const place = placed.value;
    const startedAt = clock.now();
    const use = createUse(startedAt);
    try {
      return yield* stream(job, progress, place, signal, use);
    } finally {
      if (use.result !== 'answered') progress.avoid.push(use.failedServer ?? place.server);
      placement.release(wish, place, endOf(job, use, startedAt, clock.now()));
    }
  }

  async function* stream(
    job: CompletionJob,
    progress: Progress,
    place: Place,
    signal: AbortSignal,
    use: PlaceUse,
  ): AsyncGenerator<Result<EngineChunk, Failure>, Failure | undefined, void> {
    const firstTokenBy = progress.delivered === 0 ? job.deadlineAt : Infinity;
    const watchdog = createWatchdog(
      clock,
      { idleTimeoutMs: stallLimit(job), firstTokenBy },
      signal,
    );
    const request = createRequest(job, progress, place);
    try {
      for await (const item of open(request, place, watchdog.signal, use)) {
        watchdog.touch();
        if (item.isErr()) {
          use.result = resolveResult(item.error, signal);
          return describeEnd(item.error, watchdog, signal, place);
        }
        const chunk = item.value;
        if (!isNext(job, progress, chunk, place)) continue;
        if (chunk.index > progress.delivered) break;
        if (use.firstTokenAt === undefined) noteFirstToken(place, use);
        noteToken(job, progress, chunk, use);
        yield Ok(chunk);
        if (chunk.finishReason !== null) return undefined;
      }
      use.result = signal.aborted ? 'cancelled' : 'cut';
      return describeEnd(incomplete(place), watchdog, signal, place);
    } finally {
      watchdog.stop();
    }
  }

  /** Starts the stream, after the prompt was read elsewhere where the place says so. */
  async function* open(
    request: EngineRequest,
    place: Place,
    signal: AbortSignal,
    use: PlaceUse,
  ): EngineStream {
    const engine = backends.engine(place.server, place.address);
    if (place.prefill === undefined) {
      yield* engine.generate(request, signal);
      return;
    }
    const { server, address } = place.prefill;
    const handover = { from: backends.engine(server, address), to: engine, request };
    const handed = await handOver(handover, signal, {
      prefillDone() {
        use.readAt = clock.now();
      },
    });
    if (handed.isOk()) {
      yield* engine.generate({ ...request, kvHandle: handed.value }, signal);
      return;
    }
    // The engine that generates may read the prompt itself, unless its role forbids it.
    metrics.retries.inc({ reason: 'handover-failed' });
    use.failedServer = server;
    use.readAt = undefined;
    for await (const item of engine.generate(request, signal)) {
      if (item.isOk() || item.error.outcome === 'unknown') yield item;
      else yield Err(handoverFailed(handed.error, server));
    }
  }

  function noteFirstToken(place: Place, use: PlaceUse): void {
    const firstTokenMs = clock.now() - use.startedAt;
    const made = { firstTokenMs };
    if (use.readAt === undefined) placement.progress?.(place, made);
    else placement.progress?.(place, { ...made, prefillMs: use.readAt - use.startedAt });
  }

  /** Whether a chunk is of this answer and not one that was delivered already. */
  function isNext(
    job: CompletionJob,
    progress: Progress,
    chunk: EngineChunk,
    place: Place,
  ): boolean {
    if (chunk.requestId !== job.requestId) {
      const { requestId } = job;
      log.write('answerMismatched', { requestId, received: chunk.requestId, peer: place.server });
      return false;
    }
    return chunk.index >= progress.delivered;
  }

  function noteToken(
    job: CompletionJob,
    progress: Progress,
    chunk: EngineChunk,
    use: PlaceUse,
  ): void {
    const now = clock.now();
    const labels = { class: job.requestClass.name };
    if (progress.lastTokenAt === undefined) {
      metrics.firstToken.observe(labels, (now - job.arrivedAt) / 1_000);
    } else {
      metrics.betweenTokens.observe(labels, (now - progress.lastTokenAt) / 1_000);
    }
    use.firstTokenAt ??= now;
    use.outputTokens += 1;
    progress.lastTokenAt = now;
    progress.delivered = chunk.index + 1;
    if (chunk.finishReason === null) return;
    use.result = 'answered';
    use.cachedTokens = chunk.usage?.cachedTokens ?? 0;
    estimate.observe({ team: job.team.name, class: job.requestClass.name }, progress.delivered);
  }

  function createWish(job: CompletionJob, progress: Progress): PlacementRequest {
    const { team, requestClass } = job;
    const key = { team: team.name, class: requestClass.name };
    const expected = estimate.estimate(key, requestClass.expectedOutputTokens);
    // What was begun is finished, late if need be: each attempt has the whole time anew. It is not
    // unbounded, because an answer of the holder that was lost is waited for as long.
    const countedFrom = progress.mayHaveRun ? clock.now() : job.arrivedAt;
    const due = countedFrom + requestClass.firstTokenMs;
    return {
      requestId: job.requestId,
      attempt: progress.attempt,
      groups: job.groups,
      team: team.name,
      weight: team.weight,
      class: requestClass.name,
      priority: requestClass.priority,
      firstTokenBy: Math.min(due, job.deadlineAt),
      deadlineAt: job.deadlineAt,
      promptTokens: job.promptTokens + progress.delivered,
      expectedOutputTokens: Math.max(1, Math.min(job.maxTokens, expected) - progress.delivered),
      maxOutputTokens: Math.max(1, job.maxTokens - progress.delivered),
      betweenTokensMs: requestClass.betweenTokensMs,
      prefixes: job.prefixes,
      model: job.model,
      adapter: job.adapter,
      repeatable: requestClass.repeatable,
      avoid: progress.avoid,
    };
  }

  function createRequest(job: CompletionJob, progress: Progress, place: Place): EngineRequest {
    const { priority } = job.requestClass;
    const urgency = { priority, isBeyondShare: false, isLong: false };
    return {
      requestId: job.requestId,
      model: job.model,
      ...(job.adapter === undefined ? {} : { adapter: job.adapter }),
      prompt: job.prompt,
      maxTokens: job.maxTokens,
      stream: true,
      priority: place.enginePriority ?? resolveEnginePriority(urgency),
      resumeFrom: progress.delivered,
      prefillOnly: false,
    };
  }

  return { run };
}

function describeRetry(
  job: CompletionJob,
  progress: Progress,
  failure: Failure,
  signal: AbortSignal,
): FailedAttempt {
  return {
    spent: progress.spent,
    failure,
    mayHaveRun: progress.mayHaveRun,
    repeatable: job.requestClass.repeatable,
    deadlineAt: job.deadlineAt,
    isAborted: signal.aborted,
    hasAvoided: progress.avoid.length > 0,
  };
}

/** What is known of the use of a place when it ends. */
interface PlaceUse {
  result: PlaceEnd['result'];
  startedAt: number;
  /** When the prompt had been read on another engine. */
  readAt: number | undefined;
  /** The server to blame, when it is not the place's own. */
  failedServer: string | undefined;
  firstTokenAt: number | undefined;
  outputTokens: number;
  cachedTokens: number;
}

function createUse(startedAt: number): PlaceUse {
  return {
    result: 'cancelled',
    startedAt,
    readAt: undefined,
    failedServer: undefined,
    firstTokenAt: undefined,
    outputTokens: 0,
    cachedTokens: 0,
  };
}

function resolveResult(failure: Failure, outer: AbortSignal): PlaceEnd['result'] {
  if (outer.aborted) return 'cancelled';
  return failure.outcome === 'not-run' ? 'refused' : 'cut';
}

function handoverFailed(failure: Failure, server: string): Failure {
  return createRefusal({
    code: 'backend-server-failed',
    message: `the prompt could not be handed over: ${failure.message}`,
    step: 'engine.handover',
    peer: server,
  });
}

function endOf(job: CompletionJob, use: PlaceUse, startedAt: number, endedAt: number): PlaceEnd {
  const end: PlaceEnd = {
    result: use.result,
    promptTokens: job.promptTokens,
    cachedTokens: use.cachedTokens,
    outputTokens: use.outputTokens,
    totalMs: endedAt - startedAt,
  };
  if (use.firstTokenAt === undefined) return end;
  return { ...end, firstTokenMs: use.firstTokenAt - startedAt };
}

function stallLimit(job: CompletionJob): number {
  const { firstTokenMs, betweenTokensMs } = job.requestClass;
  return Math.max(MIN_STALL_MS, firstTokenMs, betweenTokensMs * STALL_FACTOR);
}

function describeEnd(
  failure: Failure,
  watchdog: Watchdog,
  outer: AbortSignal,
  place: Place,
): Failure {
  const peer = place.server;
  if (outer.aborted) {
    const message = 'the caller went away';
    return createUnknownOutcome({ code: 'cancelled', message, step: 'answer.deliver', peer });
  }
  if (!watchdog.hasFired()) return failure;
  const message = 'the engine stopped sending; the request goes on elsewhere if it may';
  return createUnknownOutcome({ code: 'answer-incomplete', message, step: 'engine.stream', peer });
}

function incomplete(place: Place): Failure {
  return createUnknownOutcome({
    code: 'answer-incomplete',
    message: 'the stream ended before the answer did',
    step: 'engine.stream',
    peer: place.server,
  });
}
