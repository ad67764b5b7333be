/**
 * Sends one request as a caller would, and checks the answer: whole, its own, and on time.
 */
import { createHash } from 'node:crypto';
import { request, type Dispatcher } from 'undici';
import { expectedAnswer } from '../../stand-ins/model-engine/index.js';
import type { Arrival } from './arrivals.js';
import type { Outcome, OutcomeResult } from './outcome.js';
import type { ClassTimes, Experiment } from './settings.js';

/** A request with its text and the key of its team. */
export interface Sending {
  arrival: Arrival;
  prompt: string;
  apiKey: string;
  /** Unique over all runs, for calls that may not be repeated. */
  idempotencyKey: string;
}

/** What was received, token by token. */
interface Received {
  status: number;
  text: string;
  isEnded: boolean;
  firstTokenMs: number | undefined;
  totalMs: number;
  gapsMs: number[];
  reason: string;
  outcome: string;
  promptTokens: number;
  cachedTokens: number;
}

/** The address could not be reached; nothing was sent. */
export class AddressUnreachable extends Error {}

/**
 * Sends a request to one address.
 *
 * @param experiment the settings, for models and time limits
 * @param address a node's caller address
 * @param sending the request
 * @param dispatcher keeps connections
 */
export async function send(
  experiment: Experiment,
  address: string,
  sending: Sending,
  dispatcher: Dispatcher,
): Promise<Omit<Outcome, 'latenessMs'>> {
  const { arrival } = sending;
  const isCall = arrival.class === 'service-call';
  const received = isCall
    ? await receive(address, sending, callOf(experiment, sending), dispatcher)
    : await receive(address, sending, generationOf(experiment, sending), dispatcher);
  const result = judge(experiment, sending, received);
  const { firstTokenMs, totalMs, gapsMs, promptTokens, cachedTokens } = received;
  return {
    id: arrival.id,
    team: arrival.team,
    isLarge: arrival.isLarge,
    class: arrival.class,
    atMs: arrival.atMs,
    result,
    reason: received.reason,
    ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
    totalMs,
    gapsMs,
    promptTokens,
    cachedTokens,
  };
}

/** The time limits of a class. */
export function timesOf(experiment: Experiment, className: Arrival['class']): ClassTimes {
  const { verdict, workedAnswer, serviceCall } = experiment.deployment.classes;
  if (className === 'verdict') return verdict;
  return className === 'worked-answer' ? workedAnswer : serviceCall;
}

interface Message {
  path: string;
  body: string;
}

function generationOf(experiment: Experiment, { arrival, prompt }: Sending): Message {
  const body = {
    model: experiment.deployment.model,
    prompt,
    max_tokens: maxTokensOf(experiment, arrival),
    stream: true,
    stream_options: { include_usage: true },
  };
  return { path: '/v1/completions', body: JSON.stringify(body) };
}

function maxTokensOf({ workload }: Experiment, arrival: Arrival): number {
  return arrival.class === 'verdict' ? workload.verdict.maxTokens : workload.workedAnswer.maxTokens;
}

function callOf(experiment: Experiment, { arrival }: Sending): Message {
  const { service } = experiment.deployment.workers;
  return {
    path: `/v1/services/${service}/pages/${arrival.textSeed}`,
    body: JSON.stringify({ page: arrival.textSeed }),
  };
}

async function receive(
  address: string,
  sending: Sending,
  message: Message,
  dispatcher: Dispatcher,
): Promise<Received> {
  const received = createReceived();
  const startedAt = performance.now();
  try {
    const answer = await request(`http://${address}${message.path}`, {
      method: 'POST',
      dispatcher,
      headers: {
        authorization: `Bearer ${sending.apiKey}`,
        'content-type': 'application/json',
        'x-reedtally-class': sending.arrival.class,
        'idempotency-key': sending.idempotencyKey,
      },
      body: message.body,
    });
    received.status = answer.statusCode;
    const isStream = String(answer.headers['content-type']).startsWith('text/event-stream');
    if (isStream) await readStream(answer.body, startedAt, received);
    else await readWhole(answer.body, startedAt, received);
  } catch (error) {
    if (isUnreachable(error)) throw new AddressUnreachable(address);
    received.reason = 'connection-lost';
  }
  received.totalMs = performance.now() - startedAt;
  return received;
}

function createReceived(): Received {
  return {
    status: 0,
    text: '',
    isEnded: false,
    firstTokenMs: undefined,
    totalMs: 0,
    gapsMs: [],
    reason: '',
    outcome: 'unknown',
    promptTokens: 0,
    cachedTokens: 0,
  };
}

function isUnreachable(error: unknown): boolean {
  const code = (error as { code?: string }).code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

const EVENT_PREFIX = 'data: ';
const STREAM_END = '[DONE]';

interface StreamEvent {
  choices?: { text: string }[];
  usage?: { prompt_tokens: number; prompt_tokens_details: { cached_tokens: number } };
  error?: { code: string; step: string; outcome: string };
}

async function readStream(
  body: AsyncIterable<Buffer>,
  startedAt: number,
  received: Received,
): Promise<void> {
  const decoder = new TextDecoder();
  const texts: string[] = [];
  let rest = '';
  let lastAt: number | undefined;
  for await (const piece of body) {
    const lines = (rest + decoder.decode(piece, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    const now = performance.now();
    for (const line of lines) {
      if (!line.startsWith(EVENT_PREFIX)) continue;
      const text = readEvent(line.slice(EVENT_PREFIX.length), received);
      if (text === undefined) continue;
      texts.push(text);
      received.firstTokenMs ??= now - startedAt;
      if (lastAt !== undefined) received.gapsMs.push(now - lastAt);
      lastAt = now;
    }
  }
  received.text = texts.join('');
}

/** @returns the text of a token, if the event carries one. */
function readEvent(data: string, received: Received): string | undefined {
  if (data === STREAM_END) {
    received.isEnded = true;
    return undefined;
  }
  const event = JSON.parse(data) as StreamEvent;
  if (event.error !== undefined) noteError(event.error, received);
  if (event.usage !== undefined) {
    received.promptTokens = event.usage.prompt_tokens;
    received.cachedTokens = event.usage.prompt_tokens_details.cached_tokens;
  }
  return event.choices?.[0]?.text;
}

function noteError(error: NonNullable<StreamEvent['error']>, received: Received): void {
  received.reason = `${error.code} at ${error.step}`;
  received.outcome = error.outcome;
}

async function readWhole(
  body: { text(): Promise<string> },
  startedAt: number,
  received: Received,
): Promise<void> {
  received.text = await body.text();
  received.firstTokenMs = performance.now() - startedAt;
  received.isEnded = received.status === 200;
  if (received.isEnded) return;
  const { error } = JSON.parse(received.text) as StreamEvent;
  if (error !== undefined) noteError(error, received);
}

function judge(experiment: Experiment, sending: Sending, received: Received): OutcomeResult {
  if (!received.isEnded) return received.outcome === 'not-run' ? 'refused' : 'failed';
  if (!isOwn(experiment, sending, received.text)) return 'wrong';
  const times = timesOf(experiment, sending.arrival.class);
  if ((received.firstTokenMs ?? Infinity) > times.firstTokenMs) return 'late-first-token';
  if (received.totalMs > times.deadlineMs) return 'late-whole';
  for (const gap of received.gapsMs) {
    if (gap > times.betweenTokensMs) return 'late-between-tokens';
  }
  return 'good';
}

function isOwn(experiment: Experiment, sending: Sending, text: string): boolean {
  const { arrival, prompt } = sending;
  if (arrival.class !== 'service-call') {
    const { model } = experiment.deployment;
    return text === expectedAnswer(model, prompt, maxTokensOf(experiment, arrival)).text;
  }
  const { body } = callOf(experiment, sending);
  const hash = createHash('sha256').update(body).digest('hex');
  return (JSON.parse(text) as { bodyHash: string }).bodyHash === hash;
}
