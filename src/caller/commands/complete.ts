/**
 * `POST /v1/chat/completions` and `POST /v1/completions`: resolves where the request may go, runs
 * it, and gives the answer whole or token by token. A stream that broke is never ended like a
 * finished one.
 */
import type { Context, Handler } from 'hono';
import { stream } from 'hono/streaming';
import type { StreamingApi } from 'hono/utils/stream';
import { Ok, type Result } from 'ts-results-es';
import { resolveRoute, type Route } from '../../configuration/index.js';
import { createDoubt, type Failure } from '../../errors/index.js';
import {
  countTokens,
  prefixHashes,
  resolvePrefixScope,
  type EngineChunk,
} from '../../platform/index.js';
import type { CompletionJob, CompletionStream } from '../../router/index.js';
import { createFailureBody } from '../answers.js';
import { refuse } from '../arrival.js';
import type { CallerEnvironment } from '../environment.js';
import { parseHeaders, readJsonBody, type GenerationInput, type RequestHeaders } from '../input.js';
import { createUsage, type AnswerShape, type Generation } from '../openai.js';
import type { Arrival, CallerParts } from '../parts.js';
import { createTracker, type Tracker } from '../tracker.js';

const MS_PER_SECOND = 1_000;

/** Reads one kind of generation request. */
export type GenerationParser = (body: unknown, node: string) => Result<GenerationInput, Failure>;

/** A request that was read and may run. */
interface Prepared {
  job: CompletionJob;
  input: GenerationInput;
  generation: Generation;
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
  return Ok(createPrepared(arrival, headers.value, input.value, route.value));
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
  const tracker = createTracker(parts, job.requestId, job.team.name, job.requestClass.name);
  const controller = new AbortController();
  context.req.raw.signal.addEventListener('abort', () => {
    controller.abort();
  });
  const tokens = parts.completions.run(job, controller.signal);
  const first = await tokens.next();
  if (first.done === true) return refuse(parts, context, tracker.fail(incomplete(parts.node)));
  if (first.value.isErr()) return refuse(parts, context, tracker.fail(first.value.error));
  if (!prepared.input.isStreamed) {
    return answerWhole(parts, context, prepared, shape, first.value.value, tokens, tracker);
  }
  const opening = first.value.value;
  context.header('content-type', 'text/event-stream');
  context.header('cache-control', 'no-cache');
  return stream(context, async (sink) => {
    sink.onAbort(() => {
      controller.abort();
    });
    await pump(sink, prepared, shape, opening, tokens, tracker);
  });
}

async function answerWhole(
  parts: CallerParts,
  context: Context,
  prepared: Prepared,
  shape: AnswerShape,
  opening: EngineChunk,
  tokens: CompletionStream,
  tracker: Tracker,
): Promise<Response> {
  const texts = [opening.text];
  let last = opening;
  for await (const item of tokens) {
    if (item.isErr()) return refuse(parts, context, tracker.fail(item.error));
    last = item.value;
    texts.push(last.text);
  }
  if (last.finishReason === null) {
    return refuse(parts, context, tracker.fail(incomplete(parts.node)));
  }
  tracker.answer();
  return context.json(shape.whole(prepared.generation, texts.join(''), last));
}

async function pump(
  sink: StreamingApi,
  prepared: Prepared,
  shape: AnswerShape,
  opening: EngineChunk,
  tokens: CompletionStream,
  tracker: Tracker,
): Promise<void> {
  const { generation, input } = prepared;
  let last = opening;
  await send(sink, shape.chunk(generation, opening));
  for await (const item of tokens) {
    if (item.isErr()) {
      tracker.fail(item.error);
      await send(sink, createFailureBody(item.error));
      return;
    }
    last = item.value;
    await send(sink, shape.chunk(generation, last));
  }
  if (last.finishReason === null) {
    tracker.fail(incomplete(generation.requestId));
    return;
  }
  if (input.includeUsage) await send(sink, shape.usage(generation, createUsage(last)));
  await sink.write('data: [DONE]\n\n');
  tracker.answer();
}

async function send(sink: StreamingApi, value: object): Promise<void> {
  await sink.write(`data: ${JSON.stringify(value)}\n\n`);
}

function incomplete(peer: string): Failure {
  return createDoubt({
    code: 'answer-incomplete',
    message: 'the answer ended early',
    step: 'answer.deliver',
    peer,
  });
}
