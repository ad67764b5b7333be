/**
 * `/v1/services/{service}/…`: calls to plain services. A call of a class that may not be repeated
 * needs an idempotency key, which is claimed before the call is sent; its outcome is stored.
 */
import { createHash } from 'node:crypto';
import type { Context, Handler } from 'hono';
import { Err, Ok, type Result } from 'ts-results-es';
import type { ClaimAnswer } from '../../claims/index.js';
import { resolveRoute } from '../../configuration/index.js';
import {
  createUnknownOutcome,
  createRefusal,
  isPromise,
  type Failure,
} from '../../errors/index.js';
import type { ServiceAnswer, ServiceCall } from '../../ports/index.js';
import type { ServiceJob } from '../../router/index.js';
import type { Timer } from '../../task/index.js';
import { refuse } from '../admission.js';
import type { CallerEnvironment } from '../environment.js';
import { IDEMPOTENCY_HEADER, parseHeaders, readBytes } from '../input.js';
import type { Arrival, CallerParts, KeyedRequest } from '../parts.js';
import { createTracker, runTracked } from '../tracker.js';

const PREFIX = '/v1/services/';
const REPLAYED_HEADER = 'x-reedtally-replayed';
const RETRY_AFTER_MS = 1_000;

/** A validated call. */
interface PreparedCall {
  job: ServiceJob;
  keyed: KeyedRequest | undefined;
}

/** The result of a call. */
interface CallOutcome {
  result: Result<ServiceAnswer, Failure>;
  /** Whether the result is that of another call with the same key. */
  isReplayed: boolean;
}

/**
 * Creates the handler of service calls.
 *
 * @param parts the node's runner, claims and configuration
 */
export function createCallServiceHandler(parts: CallerParts): Handler<CallerEnvironment> {
  return async (context) => {
    const arrival = context.get('arrival');
    const prepared = await prepare(parts, context, arrival);
    if (prepared.isErr()) return refuse(parts, context, prepared.error);
    const { job, keyed } = prepared.value;
    const tracker = createTracker(parts, job.requestId, job.team.name, job.requestClass.name);
    const { signal } = context.req.raw;
    const outcome = await runTracked(tracker, parts.node, () =>
      keyed === undefined ? runUnkeyed(parts, job, signal) : runKeyed(parts, job, keyed, signal),
    );
    const service = resolveService(context);
    const result =
      keyed === undefined
        ? outcome.result
        : outcome.result.andThen((answer) => withoutPromise(service, answer));
    if (result.isErr()) return refuse(parts, context, tracker.fail(result.error));
    tracker.succeed();
    return createResponse(context, result.value, outcome.isReplayed);
  };
}

async function prepare(
  parts: CallerParts,
  context: Context,
  arrival: Arrival,
): Promise<Result<PreparedCall, Failure>> {
  const { node } = parts;
  const headers = parseHeaders(context, node);
  if (headers.isErr()) return headers;
  const { className, deadlineMs, idempotencyKey } = headers.value;
  const body = await readBytes(context, node);
  if (body.isErr()) return body;
  const call = createCall(context, arrival.requestId, body.value);
  const target = { service: resolveService(context) };
  const query = { team: arrival.team.name, class: className, target };
  const route = resolveRoute(parts.replica.current(), query, node);
  if (route.isErr()) return route;
  const { team, requestClass, groups } = route.value;
  const { requestId, arrivedAt } = arrival;
  const deadlineAt = arrivedAt + (deadlineMs ?? requestClass.deadlineMs);
  const job = { requestId, team, requestClass, groups, call, arrivedAt, deadlineAt };
  if (requestClass.repeatable) return Ok({ job, keyed: undefined });
  if (idempotencyKey === undefined) return Err(keyMissing(node, className));
  const bodyHash = hashCall(target.service, call);
  return Ok({ job, keyed: { team: team.name, key: idempotencyKey, requestId, bodyHash } });
}

function resolveService(context: Context): string {
  return context.req.param('service') ?? '';
}

function createCall(context: Context, requestId: string, body: Uint8Array): ServiceCall {
  const url = new URL(context.req.url);
  const rest = url.pathname.slice(PREFIX.length);
  const slash = rest.indexOf('/');
  const path = `${slash < 0 ? '/' : rest.slice(slash)}${url.search}`;
  const contentType = context.req.header('content-type');
  return {
    requestId,
    method: context.req.method,
    path,
    ...(contentType === undefined ? {} : { contentType }),
    ...(body.length === 0 ? {} : { body }),
  };
}

function hashCall(service: string, call: ServiceCall): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([service, call.method, call.path, call.contentType ?? '']));
  hash.update(call.body ?? '');
  return hash.digest('hex');
}

async function runUnkeyed(
  parts: CallerParts,
  job: ServiceJob,
  signal: AbortSignal,
): Promise<CallOutcome> {
  const result = await parts.services.run(job, signal, () => Promise.resolve(undefined));
  return { result, isReplayed: false };
}

/** Claims the key only once a server has a free slot, so that refused requests cost no write. */
async function runKeyed(
  parts: CallerParts,
  job: ServiceJob,
  keyed: KeyedRequest,
  signal: AbortSignal,
): Promise<CallOutcome> {
  const joined = parts.claims.join(keyed);
  if (joined !== undefined) return waitForRunningCall(parts, job, joined);
  const claiming: { claim?: ClaimAnswer } = {};
  const result = await parts.services.run(job, signal, async () => {
    claiming.claim = await parts.claims.claim(keyed);
    return resolveRefusal(parts, claiming.claim);
  });
  if (claiming.claim === undefined) return findEarlierOutcome(parts, keyed, result);
  if (claiming.claim.kind === 'answered')
    return { result: Ok(claiming.claim.answer), isReplayed: true };
  if (claiming.claim.kind === 'claimed') await parts.claims.settle(claiming.claim.claim, result);
  return { result, isReplayed: false };
}

/** Waits, until the deadline, for the answer of a call with the same key that runs at this node. */
async function waitForRunningCall(
  parts: CallerParts,
  job: ServiceJob,
  joined: Promise<ClaimAnswer>,
): Promise<CallOutcome> {
  let timer: Timer | undefined;
  const timedOut = new Promise<undefined>((resolve) => {
    timer = parts.clock.after(job.deadlineAt - parts.clock.now(), () => {
      resolve(undefined);
    });
  });
  const answer = await Promise.race([joined, timedOut]);
  timer?.cancel();
  if (answer?.kind === 'answered') return { result: Ok(answer.answer), isReplayed: true };
  const failure = answer?.kind === 'refused' ? answer.failure : stillRunning(parts.node);
  return { result: Err(failure), isReplayed: true };
}

function resolveRefusal(parts: CallerParts, claim: ClaimAnswer): Failure | undefined {
  if (claim.kind === 'claimed') return undefined;
  return claim.kind === 'refused' ? claim.failure : alreadyAnswered(parts.node);
}

/** Looks up an outcome that the key may have from an earlier call, when this call made no claim. */
async function findEarlierOutcome(
  parts: CallerParts,
  keyed: KeyedRequest,
  result: Result<ServiceAnswer, Failure>,
): Promise<CallOutcome> {
  const earlier = await parts.claims.findOutcome(keyed);
  if (earlier?.kind === 'answered') return { result: Ok(earlier.answer), isReplayed: true };
  if (earlier?.kind === 'refused') return { result: Err(earlier.failure), isReplayed: true };
  return { result, isReplayed: false };
}

/**
 * Keeps the answer of a call that ran from saying that it did not. A worker's status says what it means to the worker;
 * where it started nothing, the port has made a refusal of it.
 */
function withoutPromise(service: string, answer: ServiceAnswer): Result<ServiceAnswer, Failure> {
  return isPromise(answer.status) ? Err(answeredPromise(service, answer)) : Ok(answer);
}

function createResponse(context: Context, answer: ServiceAnswer, isReplayed: boolean): Response {
  const headers = new Headers({ 'content-type': answer.contentType });
  if (isReplayed) headers.set(REPLAYED_HEADER, 'true');
  const requestId = context.res.headers.get('x-request-id');
  if (requestId !== null) headers.set('x-request-id', requestId);
  return new Response(Uint8Array.from(answer.body), { status: answer.status, headers });
}

function answeredPromise(service: string, { status }: ServiceAnswer): Failure {
  return createUnknownOutcome({
    code: 'backend-server-failed',
    message: `the worker answered status ${status} and did not say that it started nothing; the call may have run`,
    step: 'service.call',
    peer: service,
  });
}

function keyMissing(node: string, className: string): Failure {
  return createRefusal({
    code: 'idempotency-key-missing',
    message: `class "${className}" may not be repeated: send an Idempotency-Key header`,
    step: 'request.read',
    peer: node,
    field: IDEMPOTENCY_HEADER,
  });
}

function stillRunning(node: string): Failure {
  return createUnknownOutcome({
    code: 'in-progress',
    message: 'a request with this key is still running; retry with the same key to get its answer',
    step: 'claim.settle',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function alreadyAnswered(node: string): Failure {
  return createRefusal({
    code: 'in-progress',
    message: 'the request has already been answered',
    step: 'claim.insert',
    peer: node,
  });
}
