/**
 * Sends one request to one node and says how it ended: whether the answer is whole and its own is
 * checked against what the engine must give for that prompt, or the service for that call.
 */
import { createHash } from 'node:crypto';
import { Agent, request, type Dispatcher } from 'undici';
import { z } from 'zod';
import { parseChatRequest } from '../../src/caller/input.js';
import { expectedAnswer, plainServiceAnswerSchema } from '../../stand-ins/index.js';
import type { DemoRequest } from '../demo/requests.js';
import type { Attempt, AttemptEnd, RequestKind } from './outcomes.js';

/** A request as it is sent, each one unlike all others. */
export interface Asked {
  kind: RequestKind;
  label: string;
  path: string;
  headers: Record<string, string>;
  body: string;
  /** Path at the service, for calls. */
  servicePath: string;
  /** What the whole answer must be, for generations. */
  expected: string;
  /** Time for the whole answer, in milliseconds. */
  deadlineMs: number;
}

/** No answer for this long after the deadline means that it is held back. */
const HELD_BACK_MS = 3_000;

const failureBodySchema = z.object({
  error: z.object({
    code: z.string(),
    outcome: z.enum(['not-run', 'unknown']),
    step: z.string(),
    peer: z.string(),
    message: z.string(),
    retryAfterMs: z.number().optional(),
  }),
});

const answerBodySchema = z.object({
  choices: z.array(
    z.object({
      text: z.string().optional(),
      delta: z.object({ content: z.string().optional() }).optional(),
      message: z.object({ content: z.string() }).optional(),
    }),
  ),
});

/**
 * Makes a request unlike all others of one that an example ships.
 *
 * @param shipped the example's request
 * @param serial makes it unique
 * @param isRepeatable whether its class may be repeated
 * @param deadlineMs the class's time for the whole answer
 */
export function createAsked(
  shipped: DemoRequest,
  serial: string,
  isRepeatable: boolean,
  deadlineMs: number,
): Asked {
  const headers = {
    authorization: `Bearer ${shipped.key}`,
    'content-type': 'application/json',
    'x-reedtally-class': shipped.class,
  };
  const common = { label: shipped.label, deadlineMs };
  if (shipped.kind === 'service') {
    const joint = shipped.path.includes('?') ? '&' : '?';
    const servicePath = `${shipped.path}${joint}copy=${serial}`;
    return {
      ...common,
      kind: isRepeatable ? 'repeatable-call' : 'billed-call',
      path: `/v1/services/${shipped.service}${servicePath}`,
      headers: { ...headers, 'idempotency-key': `copy-${serial}` },
      body: JSON.stringify({ asked: shipped.body, serial }),
      servicePath,
      expected: '',
    };
  }
  const { model, stream, maxTokens } = shipped;
  const prompt = `${shipped.prompt} (${serial})`;
  const isChat = shipped.kind === 'chat';
  const messages = [{ role: 'user', content: prompt }];
  const body = isChat ? { model, stream, messages } : { model, stream, prompt };
  const enginePrompt = isChat
    ? parseChatRequest({ model, messages }, 'caller').unwrap().prompt
    : prompt;
  return {
    ...common,
    kind: 'generation',
    path: isChat ? '/v1/chat/completions' : '/v1/completions',
    headers,
    body: JSON.stringify({ ...body, max_tokens: maxTokens }),
    servicePath: '',
    expected: expectedAnswer(model, enginePrompt, maxTokens).text,
  };
}

/** Connections of all callers of a scenario. */
export function createCallerAgent(): Agent {
  return new Agent({ connectTimeout: 1_000, keepAliveTimeout: 4_000, pipelining: 1 });
}

/**
 * Sends a request once.
 *
 * @param agent the callers' connections
 * @param node name of the node
 * @param address the node's caller address
 * @param asked the request
 */
export async function sendOnce(
  agent: Agent,
  node: string,
  address: string,
  asked: Asked,
): Promise<Attempt> {
  const signal = AbortSignal.timeout(asked.deadlineMs + HELD_BACK_MS);
  let answer: Dispatcher.ResponseData;
  try {
    answer = await request(`http://${address}${asked.path}`, {
      dispatcher: agent,
      method: 'POST',
      headers: asked.headers,
      body: asked.body,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  } catch (error) {
    const end = resolveBreak(error, signal);
    return { node, requestId: undefined, end, detail: String(error), retryAfterMs: 0, text: '' };
  }
  const given = answer.headers['x-request-id'];
  const requestId = typeof given === 'string' ? given : undefined;
  const describe: Describe = (end, detail, retryAfterMs = 0, received = '') => {
    return { node, requestId, end, detail, retryAfterMs, text: received };
  };
  let text: string;
  try {
    text = await answer.body.text();
  } catch (error) {
    return describe(signal.aborted ? 'held-back' : 'broken', String(error));
  }
  const refusal = findRefusal(text);
  if (refusal !== undefined) {
    const { code, outcome, retryAfterMs = 0, step, peer, message } = refusal;
    return describe(outcome, `${code} at ${step} (${peer}): ${message}`, retryAfterMs);
  }
  if (answer.statusCode !== 200) return describe('wrong', `${answer.statusCode} ${text}`);
  return checkAnswer(asked, text, describe);
}

/** A connection that was never made is told from one that broke. */
function resolveBreak(error: unknown, signal: AbortSignal): AttemptEnd {
  if (signal.aborted) return 'held-back';
  const code = (error as { code?: string }).code;
  const neverMade = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return neverMade ? 'unconnected' : 'broken';
}

/** A failure as a whole body, or as the last event of a stream. */
function findRefusal(text: string): z.infer<typeof failureBodySchema>['error'] | undefined {
  for (const part of text.split('\n')) {
    const json = part.startsWith('data: ') ? part.slice('data: '.length) : part;
    if (!json.startsWith('{"error"')) continue;
    const parsed = failureBodySchema.safeParse(JSON.parse(json));
    if (parsed.success) return parsed.data.error;
  }
  return undefined;
}

type Describe = (end: AttemptEnd, detail: string, retryAfterMs?: number, text?: string) => Attempt;

function checkAnswer(asked: Asked, text: string, describe: Describe): Attempt {
  if (asked.kind !== 'generation') return checkCall(asked, text, describe);
  const isStream = text.startsWith('data: ');
  if (isStream && !text.trimEnd().endsWith('data: [DONE]')) {
    return describe('broken', 'the stream ended without its end mark');
  }
  const received = isStream ? joinEvents(text) : readText(text);
  if (received === asked.expected) return describe('whole', '', 0, received);
  return describe('wrong', `got "${received.slice(0, 80)}" for "${asked.expected.slice(0, 80)}"`);
}

function checkCall(asked: Asked, text: string, describe: Describe): Attempt {
  const parsed = plainServiceAnswerSchema.safeParse(JSON.parse(text));
  if (!parsed.success) return describe('wrong', text.slice(0, 200));
  const bodyHash = createHash('sha256').update(asked.body).digest('hex');
  const isOwn = parsed.data.path === asked.servicePath && parsed.data.bodyHash === bodyHash;
  return describe(isOwn ? 'whole' : 'wrong', isOwn ? '' : text.slice(0, 200), 0, text);
}

function joinEvents(events: string): string {
  const texts: string[] = [];
  for (const line of events.split('\n')) {
    if (!line.startsWith('data: {')) continue;
    texts.push(readText(line.slice('data: '.length)));
  }
  return texts.join('');
}

function readText(json: string): string {
  const parsed = answerBodySchema.safeParse(JSON.parse(json));
  const choice = parsed.data?.choices[0];
  return choice?.text ?? choice?.delta?.content ?? choice?.message?.content ?? '';
}
