/**
 * Speaks to a node's operator front. A command is sent once and never again by itself.
 */
import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from 'ts-results-es';
import { request } from 'undici';
import * as z from 'zod';
import { failureSchema } from '../errors/index.js';
import {
  createRefusalProblem,
  createUnreachableProblem,
  createUsageProblem,
  type Problem,
} from './problem.js';
import type { Terminal } from './terminal.js';

const DEFAULT_OPERATOR = 'http://127.0.0.1:7002';
const OPERATOR_VARIABLE = 'REEDTALLY_OPERATOR';
const TOKEN_VARIABLE = 'REEDTALLY_OPERATOR_TOKEN';
const ANSWER_TIMEOUT_MS = 30_000;

const failureAnswerSchema = z.object({ error: failureSchema });

/** The options of every command that speaks to a node. */
export interface Connection {
  operator?: string | undefined;
  'token-file'?: string | undefined;
}

/** Speaks to a node. */
export interface Client {
  get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.output<Schema>, Problem>>;
  post<Schema extends z.ZodType>(
    path: string,
    body: object,
    schema: Schema,
  ): Promise<Result<z.output<Schema>, Problem>>;
  /** Opens a stream of server-sent events. */
  stream(path: string): Promise<Result<AsyncIterable<Uint8Array>, Problem>>;
}

interface Call {
  method: 'GET' | 'POST';
  path: string;
  body?: object;
}

/**
 * Creates a client from a command's options and surroundings.
 *
 * @param connection the options
 * @param terminal the command's surroundings
 */
export function createClient(connection: Connection, terminal: Terminal): Result<Client, Problem> {
  const { environment } = terminal;
  const operator = connection.operator ?? environment[OPERATOR_VARIABLE] ?? DEFAULT_OPERATOR;
  if (!URL.canParse(operator)) {
    return Err(createUsageProblem(`--operator: expected a URL, as ${DEFAULT_OPERATOR}`));
  }
  const token = loadToken(connection['token-file'], environment[TOKEN_VARIABLE]);
  if (token.isErr()) return token;
  const headers = {
    authorization: `Bearer ${token.value}`,
    'reedtally-author': terminal.user,
  };

  function open({ method, path, body }: Call) {
    const url = new URL(path, operator);
    if (body === undefined) return request(url, { method, headers, ...timeouts });
    const sent = { ...headers, 'content-type': 'application/json' };
    return request(url, { method, headers: sent, body: JSON.stringify(body), ...timeouts });
  }

  async function call<Schema extends z.ZodType>(
    wanted: Call,
    schema: Schema,
  ): Promise<Result<z.output<Schema>, Problem>> {
    try {
      const response = await open(wanted);
      const document = await response.body.json();
      const parsed = schema.safeParse(document);
      if (response.statusCode < 400 && parsed.success) return Ok(parsed.data);
      return Err(describeAnswer(operator, document));
    } catch (error) {
      return Err(createUnreachableProblem(operator, describeError(error)));
    }
  }

  return Ok({
    get: (path, schema) => call({ method: 'GET', path }, schema),
    post: (path, body, schema) => call({ method: 'POST', path, body }, schema),
    async stream(path) {
      try {
        const response = await open({ method: 'GET', path });
        if (response.statusCode < 400) return Ok(response.body);
        return Err(describeAnswer(operator, await response.body.json()));
      } catch (error) {
        return Err(createUnreachableProblem(operator, describeError(error)));
      }
    },
  });
}

const timeouts = { headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS };

function loadToken(file: string | undefined, variable: string | undefined) {
  if (file === undefined) {
    if (variable !== undefined && variable !== '') return Ok(variable);
    return Err(createUsageProblem(`give the token by --token-file or ${TOKEN_VARIABLE}`));
  }
  try {
    return Ok(readFileSync(file, 'utf8').trim());
  } catch {
    return Err(createUsageProblem(`--token-file: ${file} cannot be read`));
  }
}

function describeAnswer(operator: string, document: unknown): Problem {
  const parsed = failureAnswerSchema.safeParse(document);
  if (parsed.success) return createRefusalProblem(parsed.data.error);
  return createUnreachableProblem(operator, 'the answer is not that of an operator front');
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = 'code' in error && typeof error.code === 'string' ? error.code : '';
  return code === '' ? error.message : code;
}
