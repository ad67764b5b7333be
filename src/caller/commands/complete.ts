/**
 * `POST /v1/chat/completions` and `POST /v1/completions`: resolves the engine groups, runs the
 * generation, and answers with the complete text or a stream of tokens. A stream that ends early is
 * terminated with an error event, never with `[DONE]`.
 */
import type { Context, Handler } from 'hono';
import { stream } from 'hono/streaming';
import type { StreamingApi } from 'hono/utils/stream';
import { Err, Ok, type Result } from 'ts-results-es';
import { resolveRoute, type EngineGroup, type Route } from '../../configuration/index.js';
import { createUnknownOutcome, createRefusal, type Failure } from '../../errors/index.js';
import {
  countTokens,
  prefixHashes,
  resolvePrefixScope,
  type EngineChunk,
} from '../../ports/index.js';
import type { CompletionJob, CompletionStream } from '../../router/index.js';
import { createFailureBody } from '../answers.js';
import { refuse } from '../admission.js';
import type { CallerEnvironment } from '../environment.js';
import {
  IDEMPOTENCY_HEADER,
  malformed,
  parseHeaders,
  readJsonBody,
  type GenerationInput,
  type RequestHeaders,
} from '../input.js';
import { createUsage, type AnswerShape, type Generation } from '../openai.js';
import type { Arrival, CallerParts } from '../parts.js';
import {
  createInternalFailure,
  createTracker,
  runTracked,
  type RequestTracker,
} from '../tracker.js';

const MS_PER_SECOND = 1_000;

/** Parses the body of one kind of completion request. */
export type GenerationParser = (body: unknown, node: string) => Result<GenerationInput, Failure>;

/** A validated request. */
interface PreparedCompletion {
  job: CompletionJob;
  input: GenerationInput;
  generation: Generation;
}

/** A request whose first token has been generated. */
interface StartedCompletion extends PreparedCompletion {
  shape: AnswerShape;
  tracker: RequestTracker;
  firstChunk: EngineChunk;
  /** The chunks after the first. */
  chunks: CompletionStream;
}

/**
 * Creates the handler of one kind of completion.
 *
 * @param parts the node's runner and configuration
 * @param parse parses the body
 * @param shape creates the answer bodies
 */
export function createCompleteHandler(
  parts: CallerParts,
  parse: GenerationParser,
  shape: AnswerShape,
): Handler<CallerEnvironment> {
  return async (context) => {
    const arrival = context.get('arrival');
    const prepared = await prepare(parts, context, arrival, parse);
    if (prepared.isErr()) return refuse(parts, context, prepared.error);
    return run(parts, context, prepared.value, shape);
  };
}

async function prepare(
  parts: CallerParts,
  context: Context,
  arrival: Arrival,
  parse: GenerationParser,
): Promise<Result<PreparedCompletion, Failure>> {
  const { node } = parts;
  const headers = parseHeaders(context, node);
  if (headers.isErr()) return headers;
  const body = await readJsonBody(context, node);
  if (body.isErr()) return body;
  const input = parse(body.value, node);
  if (input.isErr()) return input;
  const query = {
    team: arrival.team.name,
    class: headers.value.className,
    target: { model: input.value.model },
  };
  const route = resolveRoute(parts.replica.current(), query, node);
  if (route.isErr()) return route;
  const groups = filterByAdapter(route.value.groups, input.value.adapter);
  if (groups.length === 0) return Err(unknownAdapter(node, input.value));
  if (!route.value.requestClass.repeatable && headers.value.idempotencyKey !== undefined) {
    return Err(malformed(node, IDEMPOTENCY_HEADER, 'completions do not support idempotency keys'));
  }
  return Ok(createPrepared(arrival, headers.value, input.value, { ...route.value, groups }));
}

function filterByAdapter(
  groups: readonly EngineGroup[],
  adapter: string | undefined,
): EngineGroup[] {
  if (adapter === undefined) return [...groups];
  return groups.filter(({ adapters }) => adapters.includes(adapter));
}

function unknownAdapter(node: string, { model, adapter }: GenerationInput): Failure {
  return createRefusal({
    code: 'unknown-model',
    message: `no engine group available to your team serves "${model}" with the adapter "${adapter ?? ''}"`,
    step: 'request.resolve',
    peer: node,
    field: 'model',
  });
}

function createPrepared(
  arrival: Arrival,
  headers: RequestHeaders,
  input: GenerationInput,
  route: Route,
): PreparedCompletion {
  const { requestId, arrivedAt } = arrival;
  const { team, requestClass, groups } = route;
  const { model, adapter, prompt, maxTokens } = input;
  const deadlineAt = arrivedAt + (headers.deadlineMs ?? requestClass.deadlineMs);
  const job: CompletionJob = {
    requestId,
    team,
    requestClass,
    groups,
    model,
    adapter,
    prompt,
    promptTokens: countTokens(prompt),
    prefixes: prefixHashes(prompt, resolvePrefixScope(model, adapter)),
    maxTokens,
    arrivedAt,
    deadlineAt,
  };
  const created = Math.floor(Date.now() / MS_PER_SECOND);
  return { job, input, generation: { requestId, model, created } };
}

async function run(
  parts: CallerParts,
  context: Context,
  prepared: PreparedCompletion,
  shape: AnswerShape,
): Promise<Response> {
  const { job } = prepared;
  const { node } = parts;
  const tracker = createTracker(parts, job.requestId, job.team.name, job.requestClass.name);
  const controller = new AbortController();
  context.req.raw.signal.addEventListener('abort', () => {
    controller.abort();
  });
  const chunks = parts.completions.run(job, controller.signal);
  const first = await runTracked(tracker, node, () => chunks.next());
  if (first.done === true) return refuse(parts, context, tracker.fail(incomplete(node)));
  if (first.value.isErr()) return refuse(parts, context, tracker.fail(first.value.error));
  const started = { ...prepared, shape, tracker, firstChunk: first.value.value, chunks };
  if (prepared.input.isStreamed) return answerStream(parts, context, started, controller);
  return runTracked(tracker, node, () => answerComplete(parts, context, started));
}

async function answerComplete(
  parts: CallerParts,
  context: Context,
  started: StartedCompletion,
): Promise<Response> {
  const { firstChunk, tracker } = started;
  const texts = [firstChunk.text];
  let last = firstChunk;
  for await (const item of started.chunks) {
    if (item.isErr()) return refuse(parts, context, tracker.fail(item.error));
    last = item.value;
    texts.push(last.text);
  }
  if (last.finishReason === null) {
    return refuse(parts, context, tracker.fail(incomplete(parts.node)));
  }
  tracker.succeed();
  return context.json(started.shape.completion(started.generation, texts.join(''), last));
}

function answerStream(
  parts: CallerParts,
  context: Context,
  started: StartedCompletion,
  controller: AbortController,
): Response {
  context.header('content-type', 'text/event-stream');
  context.header('cache-control', 'no-cache');
  return stream(
    context,
    async (output) => {
      output.onAbort(() => {
        controller.abort();
      });
      await runTracked(started.tracker, parts.node, () => writeStream(parts.node, output, started));
    },
    async (error, output) => {
      parts.log.write('taskFailed', { task: 'caller front', error: String(error) });
      await writeEvent(output, createFailureBody(createInternalFailure(parts.node)));
    },
  );
}

async function writeStream(
  node: string,
  output: StreamingApi,
  started: StartedCompletion,
): Promise<void> {
  const { generation, shape, tracker } = started;
  let last = started.firstChunk;
  await writeEvent(output, shape.chunk(generation, last));
  for await (const item of started.chunks) {
    if (item.isErr()) {
      await writeEvent(output, createFailureBody(tracker.fail(item.error)));
      return;
    }
    last = item.value;
    await writeEvent(output, shape.chunk(generation, last));
  }
  if (last.finishReason === null) {
    await writeEvent(output, createFailureBody(tracker.fail(incomplete(node))));
    return;
  }
  if (started.input.includeUsage)
    await writeEvent(output, shape.usage(generation, createUsage(last)));
  await output.write('data: [DONE]\n\n');
  tracker.succeed();
}

async function writeEvent(output: StreamingApi, value: object): Promise<void> {
  await output.write(`data: ${JSON.stringify(value)}\n\n`);
}

function incomplete(peer: string): Failure {
  return createUnknownOutcome({
    code: 'answer-incomplete',
    message: 'the answer ended early',
    step: 'answer.deliver',
    peer,
  });
}
