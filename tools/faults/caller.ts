/**
 * Callers of a run: they send requests to the nodes' own fronts and keep what they were told.
 */
import { z } from 'zod';
import { failureSchema, type Failure } from '../../src/errors/index.js';
import { API_KEY, MODEL, SERVICE } from './fleet.js';
import { findFront, type RunningNode, type World } from './world.js';

const BODY_PART_MS = 2;
const MAX_TOKENS = 64;

/** What a caller was told in the end. */
export type Told =
  | { kind: 'answered'; text: string }
  | { kind: 'failed'; failure: Failure; text: string }
  /** The connection was lost, or the answer ended without its end mark. */
  | { kind: 'lost' };

/** What a caller asks. */
export interface Question {
  kind: 'completion' | 'keyed' | 'open';
  /** The prompt, or the idempotency key, or a name of the call. */
  name: string;
  isStreamed: boolean;
}

/** One request of a caller and what it was told. */
export interface Attempt {
  question: Question;
  node: string;
  requestId: string | undefined;
  startedAt: number;
  endedAt: number;
  told: Told;
}

const errorBodySchema = z.object({ error: failureSchema });
const chunkSchema = z.object({ choices: z.array(z.object({ text: z.string() })) });

/**
 * Asks a node once.
 *
 * @param world the world
 * @param name the node
 * @param question what is asked
 */
export async function ask(world: World, name: string, question: Question): Promise<Attempt> {
  const startedAt = world.time.now();
  const run = world.nodes.get(name);
  const front = findFront(world, name, 'caller');
  const attempt: Attempt = {
    question,
    node: name,
    requestId: undefined,
    startedAt,
    endedAt: startedAt,
    told: { kind: 'lost' },
  };
  if (run === undefined || front === undefined) return attempt;
  run.inFlight += 1;
  try {
    const request = createRequest(world, run, question);
    const answered = new Promise<Response>((resolve) => {
      run.process.perform(() => {
        world.watch.reach('request.authenticate', run.process);
        resolve(front.fetch(request));
      });
    });
    await Promise.race([readInto(attempt, answered, world, run), death(run)]);
  } finally {
    run.inFlight -= 1;
    attempt.endedAt = world.time.now();
  }
  return structuredClone(attempt);
}

function death(run: RunningNode): Promise<void> {
  return new Promise((resolve) => {
    run.process.onKill(resolve);
  });
}

async function readInto(
  attempt: Attempt,
  answered: Promise<Response>,
  world: World,
  run: RunningNode,
): Promise<void> {
  const response = await answered;
  attempt.requestId = response.headers.get('x-request-id') ?? undefined;
  world.watch.reach('answer.deliver', run.process);
  const text = await response.text();
  world.watch.reachAfter('answer.deliver', run.process);
  if (run.process.isDead()) return;
  attempt.told = readTold(attempt.question, text);
}

function readTold(question: Question, text: string): Told {
  const failure = readFailure(text);
  if (failure !== undefined) return { kind: 'failed', failure, text: '' };
  if (question.kind !== 'completion') return { kind: 'answered', text };
  if (!question.isStreamed) return { kind: 'answered', text: readChunk(text) };
  return readStream(text);
}

function readFailure(text: string): Failure | undefined {
  if (!text.startsWith('{"error"')) return undefined;
  const parsed = errorBodySchema.safeParse(JSON.parse(text));
  return parsed.success ? parsed.data.error : undefined;
}

function readChunk(text: string): string {
  return chunkSchema.parse(JSON.parse(text)).choices[0]?.text ?? '';
}

function readStream(body: string): Told {
  let text = '';
  for (const line of body.split('\n')) {
    if (!line.startsWith('data: ')) continue;
    const data = line.slice('data: '.length);
    if (data === '[DONE]') return { kind: 'answered', text };
    const failure = readFailure(data);
    if (failure !== undefined) return { kind: 'failed', failure, text };
    text += readChunk(data);
  }
  return { kind: 'lost' };
}

function createRequest(world: World, run: RunningNode, question: Question): Request {
  const { path, headers, body } = describeRequest(question);
  const bytes = Buffer.from(body);
  const half = Math.floor(bytes.length / 2);
  const { watch, time } = world;
  const stream = new ReadableStream<Uint8Array>({
    start(controller) {
      time.after(BODY_PART_MS, () => {
        watch.reach('request.read', run.process);
        run.process.perform(() => {
          controller.enqueue(bytes.subarray(0, half));
        });
      });
      time.after(2 * BODY_PART_MS, () => {
        watch.reach('request.resolve', run.process);
        watch.reach('request.admit', run.process);
        run.process.perform(() => {
          controller.enqueue(bytes.subarray(half));
          controller.close();
        });
      });
    },
  });
  return new Request(`http://caller${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${API_KEY}`, ...headers },
    body: stream,
    duplex: 'half',
  });
}

function describeRequest(question: Question) {
  if (question.kind === 'completion') {
    const { name: prompt, isStreamed: stream } = question;
    return {
      path: '/v1/completions',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model: MODEL, prompt, stream, max_tokens: MAX_TOKENS }),
    };
  }
  const keyed = { 'idempotency-key': question.name, 'x-reedtally-class': 'billed' };
  return {
    path: `/v1/services/${SERVICE}/page`,
    headers: {
      'content-type': 'text/plain',
      ...(question.kind === 'keyed' ? keyed : {}),
    },
    body: question.name,
  };
}
