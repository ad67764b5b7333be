/**
 * One worker of a plain service. Its answer tells what was asked, which worker ran it and how many
 * it had run before, so that a call that was run twice is seen. `POST /-/leave` makes it decline
 * new calls while it finishes the ones it has.
 */
import { createHash, randomUUID } from 'node:crypto';
import { z } from 'zod';
import { createSeededRandom, createSystemClock, wait, type Clock } from '../../src/task/index.js';
import {
  commonFaults,
  commonSettings,
  createFaultSchema,
  createHistory,
  createOwnClock,
  createJsonReply,
  findFault,
  startServer,
  type Received,
  type Reply,
  type StandIn,
} from '../common/index.js';

export const plainServiceStandInSettingsSchema = z.strictObject({
  kind: z.literal('plain-service').default('plain-service'),
  ...commonSettings,
  id: z.string().default('plain-service'),
  /** Calls that run at once; more are declined. */
  maxConcurrency: z.number().int().positive().default(16),
  /** Time that a call takes, in milliseconds. */
  serviceMs: z.number().nonnegative().default(5),
  /** Up to this much more, evenly spread. */
  serviceSpreadMs: z.number().nonnegative().default(0),
  seed: z.number().int().default(1),
});

/** Settings as a person writes them. */
export type PlainServiceStandInSettings = z.input<typeof plainServiceStandInSettingsSchema>;

export const plainServiceFaultSchema = z.discriminatedUnion('kind', [
  ...commonFaults,
  /** Runs the call and stops in the middle of the answer's body. */
  createFaultSchema('partial-answer', {}),
  /** Runs the call and answers with the id of another request. */
  createFaultSchema('wrong-request-id', {}),
  /** Runs the call and answers with this status. */
  createFaultSchema('status', { status: z.number().int().min(200).max(599) }),
]);

/** A fault of a plain service. */
export type PlainServiceFault = z.infer<typeof plainServiceFaultSchema>;

/** What a plain service records. */
export type PlainServiceEntry =
  | { event: 'execution'; requestId: string; method: string; path: string; serial: number }
  | { event: 'finished'; requestId: string; serial: number }
  | { event: 'declined'; requestId: string }
  | { event: 'leaving' };

export const plainServiceAnswerSchema = z.object({
  worker: z.string(),
  incarnation: z.string(),
  requestId: z.string(),
  method: z.string(),
  path: z.string(),
  /** SHA-256 of the request's body, in hexadecimal. */
  bodyHash: z.string(),
  /** Number of the execution at this worker, from 1. */
  serial: z.number().int(),
});

/** The body of a plain service's answer. */
export type PlainServiceAnswer = z.infer<typeof plainServiceAnswerSchema>;

/** A running worker of a plain service. */
export interface PlainServiceStandIn extends StandIn<PlainServiceFault, PlainServiceEntry> {
  readonly id: string;
  /** Declines new calls from now on. */
  leave(): void;
}

/**
 * Starts a worker of a plain service.
 *
 * @param input settings; all have defaults
 * @param time what service times go by
 */
export async function createPlainServiceStandIn(
  input: PlainServiceStandInSettings = {},
  time: Clock = createSystemClock(),
): Promise<PlainServiceStandIn> {
  const settings = plainServiceStandInSettingsSchema.parse(input);
  const clock = createOwnClock(time);
  const { id, maxConcurrency } = settings;
  const incarnation = randomUUID();
  const random = createSeededRandom(settings.seed);
  const history = createHistory<PlainServiceEntry>({ clock, limit: settings.recordLimit });
  let running = 0;
  let serial = 0;
  let reports = 0;
  let leaving = false;

  function leave(): void {
    leaving = true;
    history.add({ event: 'leaving' });
  }

  function decline(received: Received<PlainServiceFault>): Reply {
    const requestId = resolveRequestId(received);
    history.add({ event: 'declined', requestId });
    const reply = createJsonReply(503, { message: 'declined' });
    const headers = { ...reply.headers, 'x-request-id': requestId, 'x-not-started': 'true' };
    return { ...reply, headers };
  }

  function handleQuery(received: Received<PlainServiceFault>): Reply | undefined {
    const name = `${received.method} ${received.url.pathname}`;
    if (name === 'GET /-/state') {
      return createJsonReply(200, { id, incarnation, leaving, maxConcurrency });
    }
    if (name === 'GET /-/load') return createJsonReply(200, resolveLoad());
    if (name !== 'POST /-/leave') return undefined;
    leave();
    return { status: 204 };
  }

  function resolveLoad() {
    reports += 1;
    return { sequence: reports, ageMs: 0, running, waiting: 0, kvTokensUsed: 0, kvTokensTotal: 0 };
  }

  async function handle(received: Received<PlainServiceFault>): Promise<Reply | undefined> {
    const query = handleQuery(received);
    if (query !== undefined) return query;
    if (leaving || running >= maxConcurrency) return decline(received);
    const reply = await run(received);
    if (findFault(received.faults, 'partial-answer') === undefined) return reply;
    breakInBody(received, reply);
    return undefined;
  }

  async function run(received: Received<PlainServiceFault>): Promise<Reply> {
    const { method, url, body, faults } = received;
    const requestId = resolveRequestId(received);
    const path = url.pathname + url.search;
    running += 1;
    serial += 1;
    const own = serial;
    history.add({ event: 'execution', requestId, method, path, serial: own });
    await wait(clock, settings.serviceMs + random.next() * settings.serviceSpreadMs);
    running -= 1;
    history.add({ event: 'finished', requestId, serial: own });

    const bodyHash = createHash('sha256').update(body).digest('hex');
    const answer = { worker: id, incarnation, requestId, method, path, bodyHash, serial: own };
    const status = findFault(faults, 'status')?.status ?? 200;
    const reply = createJsonReply(status, answer satisfies PlainServiceAnswer);
    const wrong = findFault(faults, 'wrong-request-id') !== undefined;
    const answeredId = wrong ? `${requestId}-other` : requestId;
    return { ...reply, headers: { ...reply.headers, 'x-request-id': answeredId } };
  }

  const server = await startServer<PlainServiceFault, PlainServiceEntry>({
    listen: settings.listen,
    clock,
    faultSchema: plainServiceFaultSchema,
    history,
    handle,
    decline,
  });
  return { ...server, id, leave };
}

function resolveRequestId(received: Received<PlainServiceFault>): string {
  const header = received.headers['x-request-id'];
  return typeof header === 'string' ? header : '';
}

function breakInBody(received: Received<PlainServiceFault>, reply: Reply): void {
  const { response } = received;
  const whole = Buffer.from(reply.body ?? '');
  response.writeHead(reply.status, { ...reply.headers, 'content-length': String(whole.length) });
  response.write(whole.subarray(0, whole.length >> 1), () => {
    response.destroy();
  });
}
