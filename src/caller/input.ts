/**
 * Parses and validates the headers and bodies of callers' requests.
 */
import type { Context } from 'hono';
import { Err, Ok, type Result } from 'ts-results-es';
import * as z from 'zod';
import { createRefusal, type Failure } from '../errors/index.js';

/** Header for the request class. */
export const CLASS_HEADER = 'x-reedtally-class';
/** Header for the time left until the complete answer is due, in milliseconds. */
export const DEADLINE_HEADER = 'x-reedtally-deadline-ms';
/** Header for the idempotency key of a request that must not run twice. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';
/** The class of requests without a class header. */
export const DEFAULT_CLASS = 'default';

const DEFAULT_MAX_TOKENS = 256;
const MAX_MAX_TOKENS = 32_768;
const MAX_KEY_LENGTH = 255;
const DEADLINE = /^-?\d{1,12}(\.\d{1,6})?$/;

const UNSUPPORTED = 'is not supported; docs/API.md lists what is';

const maxTokensSchema = z.number().int().positive().max(MAX_MAX_TOKENS);

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal('text'), text: z.string() })),
]);

/** An option that is accepted only with its default value. */
function onlyDefault<Value extends string | number | boolean>(value: Value) {
  return z.literal(value, { error: `only ${String(value)} is supported` }).nullish();
}

/** Options that are accepted and ignored, for compatibility with common clients. */
const ignoredFields = {
  temperature: z.number().nullish(),
  top_p: z.number().nullish(),
  seed: z.number().int().nullish(),
  user: z.string().nullish(),
  metadata: z.record(z.string(), z.string()).nullish(),
};

/** Options that engines do not support, accepted only with their default values. */
const defaultOnlyFields = {
  n: onlyDefault(1),
  presence_penalty: onlyDefault(0),
  frequency_penalty: onlyDefault(0),
  stop: z.null({ error: UNSUPPORTED }).optional(),
  logit_bias: z.null({ error: UNSUPPORTED }).optional(),
};

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z
    .strictObject({
      include_usage: z.boolean().optional(),
      include_obfuscation: onlyDefault(false),
    })
    .nullish(),
  max_tokens: maxTokensSchema.nullish(),
  ...ignoredFields,
  ...defaultOnlyFields,
};

const messageSchema = z.strictObject({
  role: z.enum(['system', 'developer', 'user', 'assistant']),
  content: contentSchema,
  refusal: z.null({ error: UNSUPPORTED }).optional(),
});

export const chatRequestSchema = z.strictObject({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
  max_completion_tokens: maxTokensSchema.nullish(),
  logprobs: onlyDefault(false),
  response_format: z.strictObject({ type: onlyDefault('text') }).nullish(),
});

export const textRequestSchema = z.strictObject({
  ...commonFields,
  prompt: z.string().min(1),
  best_of: onlyDefault(1),
  echo: onlyDefault(false),
  logprobs: z.null({ error: UNSUPPORTED }).optional(),
  suffix: z.null({ error: UNSUPPORTED }).optional(),
});

/** The parsed body of a chat or text completion request. */
export interface GenerationInput {
  model: string;
  adapter: string | undefined;
  prompt: string;
  maxTokens: number;
  isStreamed: boolean;
  includeUsage: boolean;
}

/** The parsed headers of a request. */
export interface RequestHeaders {
  className: string;
  deadlineMs: number | undefined;
  idempotencyKey: string | undefined;
}

/**
 * Parses a chat completion request.
 *
 * @param body the parsed body
 * @param node this node, for failures
 */
export function parseChatRequest(body: unknown, node: string): Result<GenerationInput, Failure> {
  const parsed = chatRequestSchema.safeParse(body);
  if (!parsed.success) return Err(describeIssue(parsed.error, node));
  const { data } = parsed;
  const lines: string[] = [];
  for (const message of data.messages) {
    lines.push(`${message.role}: ${joinText(message.content)}`);
  }
  const maxTokens = data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_MAX_TOKENS;
  return createInput(data, lines.join('\n'), maxTokens, node);
}

/**
 * Parses a text completion request.
 *
 * @param body the parsed body
 * @param node this node, for failures
 */
export function parseTextRequest(body: unknown, node: string): Result<GenerationInput, Failure> {
  const parsed = textRequestSchema.safeParse(body);
  if (!parsed.success) return Err(describeIssue(parsed.error, node));
  const { data } = parsed;
  return createInput(data, data.prompt, data.max_tokens ?? DEFAULT_MAX_TOKENS, node);
}

function createInput(
  data: Pick<z.infer<typeof textRequestSchema>, 'model' | 'stream' | 'stream_options'>,
  prompt: string,
  maxTokens: number,
  node: string,
): Result<GenerationInput, Failure> {
  const [model = '', adapter, ...rest] = data.model.split(':');
  if (model === '' || adapter === '' || rest.length > 0) {
    return Err(malformed(node, 'model', 'expected "model" or "model:adapter"'));
  }
  return Ok({
    model,
    adapter,
    prompt,
    maxTokens,
    isStreamed: data.stream === true,
    includeUsage: data.stream_options?.include_usage === true,
  });
}

function joinText(content: z.infer<typeof contentSchema>): string {
  if (typeof content === 'string') return content;
  const texts: string[] = [];
  for (const part of content) {
    texts.push(part.text);
  }
  return texts.join('\n');
}

/**
 * Parses the headers that all kinds of requests share.
 *
 * @param context the request's context
 * @param node this node, for failures
 */
export function parseHeaders(context: Context, node: string): Result<RequestHeaders, Failure> {
  const deadline = context.req.header(DEADLINE_HEADER);
  const deadlineMs = deadline === undefined ? undefined : Number(deadline);
  if (deadline !== undefined && !DEADLINE.test(deadline)) {
    return Err(malformed(node, DEADLINE_HEADER, 'expected a number of milliseconds'));
  }
  if (deadlineMs !== undefined && deadlineMs <= 0) return Err(expired(node));
  const idempotencyKey = context.req.header(IDEMPOTENCY_HEADER);
  if (idempotencyKey !== undefined && !isValidKey(idempotencyKey)) {
    return Err(malformed(node, IDEMPOTENCY_HEADER, `expected 1 to ${MAX_KEY_LENGTH} characters`));
  }
  const className = context.req.header(CLASS_HEADER) ?? DEFAULT_CLASS;
  return Ok({ className, deadlineMs, idempotencyKey });
}

function isValidKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_LENGTH;
}

/**
 * Reads a JSON body.
 *
 * @param context the request's context
 * @param node this node, for failures
 */
export async function readJsonBody(
  context: Context,
  node: string,
): Promise<Result<unknown, Failure>> {
  try {
    return Ok(await context.req.json<unknown>());
  } catch {
    return Err(malformed(node, 'body', 'expected a JSON object'));
  }
}

/**
 * Reads a body of any kind.
 *
 * @param context the request's context
 * @param node this node, for failures
 */
export async function readBytes(
  context: Context,
  node: string,
): Promise<Result<Uint8Array, Failure>> {
  try {
    return Ok(new Uint8Array(await context.req.arrayBuffer()));
  } catch {
    return Err(malformed(node, 'body', 'ended early'));
  }
}

/**
 * Creates the refusal of a request with an invalid field.
 *
 * @param node this node
 * @param field the invalid field
 * @param expected what was expected there
 */
export function malformed(node: string, field: string, expected: string): Failure {
  return createRefusal({
    code: 'malformed-request',
    message: `${field}: ${expected}`,
    step: 'request.read',
    peer: node,
    field,
  });
}

function expired(node: string): Failure {
  return createRefusal({
    code: 'deadline-expired',
    message: 'the deadline had passed when the request arrived',
    step: 'request.read',
    peer: node,
    field: DEADLINE_HEADER,
  });
}

function describeIssue(error: z.ZodError, node: string): Failure {
  const issue = error.issues[0];
  if (issue === undefined) return malformed(node, 'body', 'is invalid');
  const path = issue.path.map(String);
  if (issue.code !== 'unrecognized_keys') {
    return malformed(node, path.join('.') || 'body', issue.message);
  }
  return malformed(node, [...path, ...issue.keys.slice(0, 1)].join('.'), UNSUPPORTED);
}
