/**
 * A plain service's worker over HTTP. The protocol is described at the port. A call is sent once;
 * whatever happens after it may have reached the worker is of unknown outcome.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { z } from 'zod';
import { createUnknownOutcome, createRefusal, type Failure } from '../../errors/index.js';
import { createSystemClock, type Clock } from '../../task/index.js';
import { loadReportSchema } from '../model-engine.js';
import {
  serviceStateSchema,
  type PlainService,
  type ServiceAnswer,
  type ServiceCall,
} from '../plain-service.js';
import { createHttpChannel, type HttpAnswer, type HttpRequest, type Loss } from './channel.js';
import { parseJson } from './json.js';

/** What the adapter is made of. */
export interface HttpPlainServiceTerms {
  id: string;
  /** `host:port`, by IP number. */
  address: string;
  /** Longest time for reading load or state, in milliseconds. */
  queryTimeoutMs?: number;
  /** Longest time for a call, in milliseconds; callers' signals are usually shorter. */
  callTimeoutMs?: number;
  clock?: Clock;
}

const DEFAULT_QUERY_TIMEOUT_MS = 1_000;
const DEFAULT_CALL_TIMEOUT_MS = 600_000;

/**
 * Creates a plain service's worker that is reached over HTTP.
 *
 * @param terms name, address and time limits
 */
export function createHttpPlainService(terms: HttpPlainServiceTerms): PlainService {
  const { id, address, clock = createSystemClock() } = terms;
  const queryTimeoutMs = terms.queryTimeoutMs ?? DEFAULT_QUERY_TIMEOUT_MS;
  const callTimeoutMs = terms.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const peer = `${id}@${address}`;
  const origin = `http://${address}`;
  /** A call that is asked again bears the id of the one before, so that its answers would not be told apart. */
  const separate = createHttpChannel({ origin, separate: true });
  const kept = createHttpChannel({ origin });

  async function query<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    const asked = await kept.ask({ method: 'GET', path }, { clock, timeoutMs: queryTimeoutMs });
    if (asked.isErr()) return Err(describeUnreachable(peer, asked.error.reason));
    const { status, body } = asked.value;
    if (status !== 200) return Err(describeUnreachable(peer, `answered status ${status}`));
    return parseJson(schema, body).mapErr((message) => describeUnreachable(peer, message));
  }

  return {
    id,
    address,
    async call(call, signal) {
      const patience = { clock, timeoutMs: callTimeoutMs, signal };
      const asked = await separate.ask(createRequest(call), patience);
      if (asked.isErr()) return Err(describeLoss(peer, asked.error));
      return resolveAnswer(peer, call, asked.value);
    },
    load: () => query('/-/load', loadReportSchema),
    state: () => query('/-/state', serviceStateSchema),
  };
}

function createRequest(call: ServiceCall): HttpRequest {
  const headers: Record<string, string> = { 'x-request-id': call.requestId };
  if (call.contentType !== undefined) headers['content-type'] = call.contentType;
  const request: HttpRequest = { method: call.method, path: call.path, headers };
  if (call.body !== undefined) request.body = call.body;
  return request;
}

function resolveAnswer(
  peer: string,
  call: ServiceCall,
  answer: HttpAnswer,
): Result<ServiceAnswer, Failure> {
  const { status, headers, body } = answer;
  if (headers['x-request-id'] !== call.requestId) return Err(describeMismatch(peer));
  if (status === 503 && headers['x-not-started'] === 'true') {
    const refusal = createRefusal({
      code: 'no-backend-server',
      message: 'the worker declined and started nothing',
      step: 'service.call',
      peer,
    });
    return Err(refusal);
  }
  return Ok({ status, contentType: headers['content-type'] ?? 'application/octet-stream', body });
}

function describeMismatch(peer: string): Failure {
  return createUnknownOutcome({
    code: 'answer-mismatched',
    message: 'the answer carries the id of another request',
    step: 'service.call',
    peer,
  });
}

function describeLoss(peer: string, loss: Loss): Failure {
  const detail = { message: loss.reason, step: 'service.call', peer } as const;
  if (!loss.sent) {
    const code = loss.aborted ? 'cancelled' : 'backend-server-unreachable';
    return createRefusal({ ...detail, code });
  }
  return createUnknownOutcome({
    ...detail,
    code: loss.aborted ? 'cancelled' : 'answer-incomplete',
  });
}

function describeUnreachable(peer: string, message: string): Failure {
  return createRefusal({
    code: 'backend-server-unreachable',
    message,
    step: 'service.call',
    peer,
  });
}
