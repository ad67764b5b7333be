/**
 * Sends the requests of an example and checks that each answer is whole and its own.
 */
import { createHash } from 'node:crypto';
import { request } from 'undici';
import { parseChatRequest } from '../../src/caller/input.js';
import { expectedAnswer } from '../../stand-ins/model-engine/index.js';
import type { DemoRequest, GenerationRequest, ServiceRequest } from './requests.js';

/** What became of one request. */
export interface DemoOutcome {
  label: string;
  /** `whole` when the answer is complete and the request's own; else what is wrong. */
  result: string;
  firstTokenMs: number;
  totalMs: number;
  answer: string;
}

interface Received {
  status: number;
  text: string;
  firstTokenMs: number;
  totalMs: number;
}

/**
 * Asks one request of a node.
 *
 * @param address the node's caller address
 * @param asked the request
 * @param earlier answers by label, for requests that must get an earlier answer again
 */
export async function ask(
  address: string,
  asked: DemoRequest,
  earlier: ReadonlyMap<string, string>,
): Promise<DemoOutcome> {
  const received =
    asked.kind === 'service' ? await callService(address, asked) : await generate(address, asked);
  const { firstTokenMs, totalMs, text, status } = received;
  const outcome = { label: asked.label, firstTokenMs, totalMs, answer: text };
  if (status !== 200) return { ...outcome, result: `status ${status}: ${text.slice(0, 200)}` };
  const isWhole =
    asked.kind === 'service' ? checkService(asked, text, earlier) : checkGeneration(asked, text);
  return { ...outcome, result: isWhole ? 'whole' : 'wrong' };
}

async function generate(address: string, asked: GenerationRequest): Promise<Received> {
  const { model, stream, maxTokens, prompt } = asked;
  const common = { model, stream, max_tokens: maxTokens };
  const isChat = asked.kind === 'chat';
  const body = isChat
    ? { ...common, messages: [{ role: 'user', content: prompt }] }
    : { ...common, prompt };
  const path = isChat ? '/v1/chat/completions' : '/v1/completions';
  const received = await send(address, path, asked, body, {});
  if (received.status !== 200) return received;
  return { ...received, text: stream ? joinStream(received.text) : readWhole(received.text) };
}

function callService(address: string, asked: ServiceRequest): Promise<Received> {
  const path = `/v1/services/${asked.service}${asked.path}`;
  return send(address, path, asked, asked.body, { 'idempotency-key': asked.idempotencyKey });
}

async function send(
  address: string,
  path: string,
  asked: DemoRequest,
  body: unknown,
  headers: Record<string, string>,
): Promise<Received> {
  const startedAt = performance.now();
  let firstTokenMs: number | undefined;
  const answer = await request(`http://${address}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${asked.key}`,
      'content-type': 'application/json',
      'x-reedtally-class': asked.class,
      ...headers,
    },
    body: JSON.stringify(body),
  });
  const pieces: string[] = [];
  answer.body.setEncoding('utf8');
  for await (const piece of answer.body) {
    firstTokenMs ??= performance.now() - startedAt;
    pieces.push(String(piece));
  }
  const totalMs = performance.now() - startedAt;
  const text = pieces.join('');
  return { status: answer.statusCode, text, firstTokenMs: firstTokenMs ?? totalMs, totalMs };
}

const EVENT_PREFIX = 'data: ';
const STREAM_END = '[DONE]';

interface AnswerBody {
  choices: { text?: string; delta?: { content?: string }; message?: { content: string } }[];
}

/** The text of a stream, or a mark that it broke. */
function joinStream(events: string): string {
  const texts: string[] = [];
  let ended = false;
  for (const line of events.split('\n')) {
    if (!line.startsWith(EVENT_PREFIX)) continue;
    const data = line.slice(EVENT_PREFIX.length);
    if (data === STREAM_END) {
      ended = true;
      continue;
    }
    texts.push(readText(data));
  }
  return ended ? texts.join('') : `${texts.join('')} (cut)`;
}

function readWhole(body: string): string {
  return readText(body);
}

function readText(json: string): string {
  const choice = (JSON.parse(json) as AnswerBody).choices[0];
  return choice?.text ?? choice?.delta?.content ?? choice?.message?.content ?? '';
}

function checkGeneration(asked: GenerationRequest, text: string): boolean {
  const { model, maxTokens } = asked;
  const messages = [{ role: 'user', content: asked.prompt }];
  const input = parseChatRequest({ model, messages }, 'demo');
  const prompt = asked.kind === 'chat' ? input.unwrap().prompt : asked.prompt;
  return text === expectedAnswer(model, prompt, maxTokens).text;
}

function checkService(
  asked: ServiceRequest,
  text: string,
  earlier: ReadonlyMap<string, string>,
): boolean {
  if (asked.sameAnswerAs !== undefined) return earlier.get(asked.sameAnswerAs) === text;
  const bodyHash = createHash('sha256').update(JSON.stringify(asked.body)).digest('hex');
  const echoed = JSON.parse(text) as { bodyHash: string; path: string };
  return echoed.path === asked.path && echoed.bodyHash === bodyHash;
}
