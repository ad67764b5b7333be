/**
 * `POST /v1/chat/completions` and `POST /v1/completions`: resolves where the request may go, runs
 * it, and gives the answer whole or token by token. A stream that broke is never ended like a
 * finished one.
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

/** Reads one kind of generation request. */
export type GenerationParser = (body: unknown, node: string) => Result<GenerationInput, Failure>;

/** A request that was read and may run. */
interface Prepared {
  job: CompletionJob;
  input: GenerationInput;
  generation: Generation;
}

/** A request whose first token has come. */
interface Started extends Prepared {
  shape: AnswerShape;
  tracker: RequestTracker;
  opening: EngineChunk;
  /** What follows the first token. */
  tokens: CompletionStream;
}

/**
 * Creates the handler of one kind of generation.
 *
 * @param parts the node's runner and configuration
 * @param parse reads the body
 * @param shape writes the answer
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
): Promise<Result<Prepared, Failure>> {
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
  const groups = selectWithAdapter(route.value.groups, input.value.adapter);
  if (groups.length === 0) return Err(unknownAdapter(node, input.value));
  if (!route.value.requestClass.repeatable && headers.value.idempotencyKey !== undefined) {
    return Err(malformed(node, IDEMPOTENCY_HEADER, 'generations are not kept under a key'));
  }
  return Ok(createPrepared(arrival, headers.value, input.value, { ...route.value, groups }));
}

function selectWithAdapter(
  groups: readonly EngineGroup[],
  adapter: string | undefined,
): EngineGroup[] {
  if (adapter === undefined) return [...groups];
  return groups.filter(({ adapters }) => adapters.includes(adapter));
}

function unknownAdapter(node: string, { model, adapter }: GenerationInput): Failure {
  return createRefusal({
    code: 'unknown-model',
    message: `no engine group that you reach serves "${model}" with the adapter "${adapter ?? ''}"`,
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
): Prepared {
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
  prepared: Prepared,
  shape: AnswerShape,
): Promise<Response> {
  const { job } = prepared;
  const { node } = parts;
  const tracker = createTracker(parts, job.requestId, job.team.name, job.requestClass.name);
  const controller = new AbortController();
  context.req.raw.signal.addEventListener('abort', () => {
    controller.abort();
  });
  const tokens = parts.completions.run(job, controller.signal);
  const first = await runTracked(tracker, node, () => tokens.next());
  if (first.done === true) return refuse(parts, context, tracker.fail(incomplete(node)));
  if (first.value.isErr()) return refuse(parts, context, tracker.fail(first.value.error));
  const started = { ...prepared, shape, tracker, opening: first.value.value, tokens };
  if (prepared.input.isStreamed) return answerStream(parts, context, started, controller);
  return runTracked(tracker, node, () => answerWhole(parts, context, started));
}

async function answerWhole(
  parts: CallerParts,
  context: Context,
  started: Started,
): Promise<Response> {
  const { opening, tracker } = started;
  const texts = [opening.text];
  let last = opening;
  for await (const item of started.tokens) {
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
  started: Started,
  controller: AbortController,
): Response {
  context.header('content-type', 'text/event-stream');
  context.header('cache-control', 'no-cache');
  return stream(
    context,
    async (sink) => {
      sink.onAbort(() => {
        controller.abort();
      });
      await runTracked(started.tracker, parts.node, () => pump(parts.node, sink, started));
    },
    async (error, sink) => {
      parts.log.write('taskFailed', { task: 'caller front', error: String(error) });
      await send(sink, createFailureBody(createInternalFailure(parts.node)));
    },
  );
}

async function pump(node: string, sink: StreamingApi, started: Started): Promise<void> {
  const { generation, shape, tracker } = started;
  let last = started.opening;
  await send(sink, shape.chunk(generation, last));
  for await (const item of started.tokens) {
    if (item.isErr()) {
      await send(sink, createFailureBody(tracker.fail(item.error)));
      return;
    }
    last = item.value;
    await send(sink, shape.chunk(generation, last));
  }
  if (last.finishReason === null) {
    await send(sink, createFailureBody(tracker.fail(incomplete(node))));
    return;
  }
  if (started.input.includeUsage) await send(sink, shape.usage(generation, createUsage(last)));
  await sink.write('data: [DONE]\n\n');
  tracker.succeed();
}

async function send(sink: StreamingApi, value: object): Promise<void> {
  await sink.write(`data: ${JSON.stringify(value)}\n\n`);
}

function incomplete(peer: string): Failure {
  return createUnknownOutcome({
    code: 'answer-incomplete',
    message: 'the answer ended early',
    step: 'answer.deliver',
    peer,
  });
}
