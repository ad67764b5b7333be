/**
 * Runs one generation: finds a place, streams from the engine and, when the stream is cut, resumes
 * on another server after the last token delivered. Chunks are checked against the request's id and
 * position, so the caller gets each token of its own answer exactly once.
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

/** A generation to run. Times are on the node's clock. */
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

/** Tokens of an answer; an `Err` is always the last item. */
export type CompletionStream = AsyncGenerator<Result<EngineChunk, Failure>, void, void>;

/** Idle timeout of a stream, as a multiple of the class's objective for inter-token latency. */
const IDLE_TIMEOUT_FACTOR = 20;
const MIN_IDLE_TIMEOUT_MS = 2_000;

/** State of a job across its attempts. */
interface Progress {
  attempt: number;
  /** Retries spent on the job. */
  spent: number;
  /** Tokens delivered to the caller; the index of the next chunk. */
  delivered: number;
  /** Whether any attempt may have started work. */
  mayHaveRun: boolean;
  avoid: string[];
  lastTokenAt: number | undefined;
}

export interface CompletionRunner {
  run(job: CompletionJob, signal: AbortSignal): CompletionStream;
}

/**
 * Creates the runner of generations of a node.
 *
 * @param parts placement, ports to servers and budgets
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
      const next = retries.decide(describeAttempt(job, progress, failure, signal));
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

  /** @returns the failure that ended the attempt; `undefined` when the answer is complete */
  async function* attempt(
    job: CompletionJob,
    progress: Progress,
    signal: AbortSignal,
  ): AsyncGenerator<Result<EngineChunk, Failure>, Failure | undefined, void> {
    const request = createPlacementRequest(job, progress);
    const placed = await placement.place(request, signal);
    if (placed.isErr()) return placed.error;
    const place = placed.value;
    const startedAt = clock.now();
    const usage = createUsage(startedAt);
    try {
      return yield* stream(job, progress, place, signal, usage);
    } finally {
      if (usage.result !== 'answered') progress.avoid.push(usage.failedServer ?? place.server);
      placement.release(request, place, createPlaceEnd(job, usage, startedAt, clock.now()));
    }
  }

  async function* stream(
    job: CompletionJob,
    progress: Progress,
    place: Place,
    signal: AbortSignal,
    usage: PlaceUsage,
  ): AsyncGenerator<Result<EngineChunk, Failure>, Failure | undefined, void> {
    const firstTokenBy = progress.delivered === 0 ? job.deadlineAt : Infinity;
    const watchdog = createWatchdog(
      clock,
      { idleTimeoutMs: resolveIdleTimeout(job), firstTokenBy },
      signal,
    );
    const request = createRequest(job, progress, place);
    try {
      for await (const item of openStream(request, place, watchdog.signal, usage)) {
        watchdog.touch();
        if (item.isErr()) {
          usage.result = resolveResult(item.error, signal);
          return explainEnd(item.error, watchdog, signal, place);
        }
        const chunk = item.value;
        if (!isUndelivered(job, progress, chunk, place)) continue;
        // A gap counts as a cut stream.
        if (chunk.index > progress.delivered) break;
        if (usage.firstTokenAt === undefined) reportFirstToken(place, usage);
        recordToken(job, progress, chunk, usage);
        yield Ok(chunk);
        if (chunk.finishReason !== null) return undefined;
      }
      usage.result = signal.aborted ? 'cancelled' : 'cut';
      return explainEnd(streamCut(place), watchdog, signal, place);
    } finally {
      watchdog.stop();
    }
  }

  /** Opens the engine's stream, after prefill on another engine if the place names one. */
  async function* openStream(
    request: EngineRequest,
    place: Place,
    signal: AbortSignal,
    usage: PlaceUsage,
  ): EngineStream {
    const engine = backends.engine(place.server, place.address);
    if (place.prefill === undefined) {
      yield* engine.generate(request, signal);
      return;
    }
    const { server, address } = place.prefill;
    const handover = { from: backends.engine(server, address), to: engine, request };
    const kvHandle = await handOver(handover, signal, {
      prefillDone() {
        usage.prefilledAt = clock.now();
      },
    });
    if (kvHandle.isOk()) {
      yield* engine.generate({ ...request, kvHandle: kvHandle.value }, signal);
      return;
    }
    // Fall back to prefill on the decode engine; it refuses if its role does not allow it.
    metrics.retries.inc({ reason: 'handover-failed' });
    usage.failedServer = server;
    usage.prefilledAt = undefined;
    for await (const item of engine.generate(request, signal)) {
      if (item.isOk() || item.error.outcome === 'unknown') yield item;
      else yield Err(handoverFailed(kvHandle.error, server));
    }
  }

  function reportFirstToken(place: Place, usage: PlaceUsage): void {
    const firstTokenMs = clock.now() - usage.startedAt;
    const timing = { firstTokenMs };
    if (usage.prefilledAt === undefined) placement.progress?.(place, timing);
    else placement.progress?.(place, { ...timing, prefillMs: usage.prefilledAt - usage.startedAt });
  }

  /** Whether a chunk belongs to this answer and has not been delivered yet. */
  function isUndelivered(
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

  function recordToken(
    job: CompletionJob,
    progress: Progress,
    chunk: EngineChunk,
    usage: PlaceUsage,
  ): void {
    const now = clock.now();
    const labels = { class: job.requestClass.name };
    if (progress.lastTokenAt === undefined) {
      metrics.firstToken.observe(labels, (now - job.arrivedAt) / 1_000);
    } else {
      metrics.betweenTokens.observe(labels, (now - progress.lastTokenAt) / 1_000);
    }
    usage.firstTokenAt ??= now;
    usage.outputTokens += 1;
    progress.lastTokenAt = now;
    progress.delivered = chunk.index + 1;
    if (chunk.finishReason === null) return;
    usage.result = 'answered';
    usage.cachedTokens = chunk.usage?.cachedTokens ?? 0;
    estimate.observe({ team: job.team.name, class: job.requestClass.name }, progress.delivered);
  }

  function createPlacementRequest(job: CompletionJob, progress: Progress): PlacementRequest {
    const { team, requestClass } = job;
    const key = { team: team.name, class: requestClass.name };
    const expected = estimate.estimate(key, requestClass.expectedOutputTokens);
    // Once work may have begun, each attempt gets the full time to first token anew, so that the
    // answer can be finished late. It stays bounded, because a lost holder's answer is awaited until
    // then.
    const countedFrom = progress.mayHaveRun ? clock.now() : job.arrivedAt;
    const firstTokenDue = countedFrom + requestClass.firstTokenMs;
    return {
      requestId: job.requestId,
      attempt: progress.attempt,
      groups: job.groups,
      team: team.name,
      weight: team.weight,
      class: requestClass.name,
      priority: requestClass.priority,
      firstTokenBy: Math.min(firstTokenDue, job.deadlineAt),
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

function describeAttempt(
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

/** Usage of a place by one attempt. */
interface PlaceUsage {
  result: PlaceEnd['result'];
  startedAt: number;
  /** When prefill on another engine was done. */
  prefilledAt: number | undefined;
  /** The server that failed, when it is not the place's own. */
  failedServer: string | undefined;
  firstTokenAt: number | undefined;
  outputTokens: number;
  cachedTokens: number;
}

function createUsage(startedAt: number): PlaceUsage {
  return {
    result: 'cancelled',
    startedAt,
    prefilledAt: undefined,
    failedServer: undefined,
    firstTokenAt: undefined,
    outputTokens: 0,
    cachedTokens: 0,
  };
}

function resolveResult(failure: Failure, callerSignal: AbortSignal): PlaceEnd['result'] {
  if (callerSignal.aborted) return 'cancelled';
  return failure.outcome === 'not-run' ? 'refused' : 'cut';
}

function handoverFailed(failure: Failure, server: string): Failure {
  return createRefusal({
    code: 'backend-server-failed',
    message: `the KV cache could not be handed over: ${failure.message}`,
    step: 'engine.handover',
    peer: server,
  });
}

function createPlaceEnd(
  job: CompletionJob,
  usage: PlaceUsage,
  startedAt: number,
  endedAt: number,
): PlaceEnd {
  const end: PlaceEnd = {
    result: usage.result,
    promptTokens: job.promptTokens,
    cachedTokens: usage.cachedTokens,
    outputTokens: usage.outputTokens,
    totalMs: endedAt - startedAt,
  };
  if (usage.firstTokenAt === undefined) return end;
  return { ...end, firstTokenMs: usage.firstTokenAt - startedAt };
}

function resolveIdleTimeout(job: CompletionJob): number {
  const { firstTokenMs, betweenTokensMs } = job.requestClass;
  return Math.max(MIN_IDLE_TIMEOUT_MS, firstTokenMs, betweenTokensMs * IDLE_TIMEOUT_FACTOR);
}

function explainEnd(
  failure: Failure,
  watchdog: Watchdog,
  callerSignal: AbortSignal,
  place: Place,
): Failure {
  const peer = place.server;
  if (callerSignal.aborted) {
    const message = 'the caller disconnected or cancelled';
    return createUnknownOutcome({ code: 'cancelled', message, step: 'answer.deliver', peer });
  }
  if (!watchdog.hasFired()) return failure;
  const message = 'the engine sent no token in time';
  return createUnknownOutcome({ code: 'answer-incomplete', message, step: 'engine.stream', peer });
}

function streamCut(place: Place): Failure {
  return createUnknownOutcome({
    code: 'answer-incomplete',
    message: 'the stream ended before the answer was complete',
    step: 'engine.stream',
    peer: place.server,
  });
}
