/**
 * A worker of a plain service and the port to it. Each call that begins is recorded with the key
 * that its body names.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, createRefusal, type Failure } from '../../../src/errors/index.js';
import type { PlainService, ServiceAnswer, ServiceCall, Vm } from '../../../src/ports/index.js';
import type { ServerPortParts } from './engine-port.js';

const WORK_MS = 40;
const MAX_CONCURRENCY = 3;
const QUERY_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;
const LONG_ANSWER_CHARACTERS = 300;
/** Share of calls that the service itself answers with status 500 after it ran. */
const ERROR_SHARE = 0.05;

/** One worker. */
export interface FakeService {
  readonly vm: Vm;
  isUp(): boolean;
  crash(): void;
  restart(): void;
  leave(): void;
  isLeaving(): boolean;
  incarnation(): number;
}

/**
 * Creates a worker that is up.
 *
 * @param vm its VM
 */
export function createFakeService(vm: Vm): FakeService {
  let up = true;
  let leaving = false;
  let incarnation = 1;
  return {
    vm,
    isUp: () => up,
    crash() {
      up = false;
    },
    restart() {
      if (up) return;
      up = true;
      incarnation += 1;
    },
    leave() {
      leaving = true;
    },
    isLeaving: () => leaving,
    incarnation: () => incarnation,
  };
}

/**
 * Creates a port to a worker.
 *
 * @param service the worker; `undefined` when nothing listens at the address
 * @param id the worker's id
 * @param address its address
 * @param parts the process and its network
 */
export function createServicePort(
  service: FakeService | undefined,
  id: string,
  address: string,
  parts: ServerPortParts,
): PlainService {
  const { process: from, network, time, random, watch, record } = parts;

  function unreachable(): Failure {
    return createRefusal({
      code: 'backend-server-unreachable',
      message: 'no connection',
      step: 'service.call',
      peer: id,
    });
  }

  function query<Value>(read: (service: FakeService) => Value): Promise<Result<Value, Failure>> {
    return network.call<Result<Value, Failure>>({
      from,
      to: id,
      timeoutMs: QUERY_TIMEOUT_MS,
      effect: () => (service?.isUp() === true ? Ok(read(service)) : Err(unreachable())),
      lost: () => Err(unreachable()),
    });
  }

  /** Runs the call at the worker; `undefined` when the worker died on the way. */
  function run(call: ServiceCall): Promise<Result<ServiceAnswer, Failure> | undefined> {
    if (service?.isUp() !== true) return Promise.resolve(Err(unreachable()));
    const informedAt = parts.informedAt(from);
    record.arrivals.push({ at: time.now(), server: id, node: from.name, informedAt });
    if (service.isLeaving()) return Promise.resolve(Err(declined(id)));
    const key = Buffer.from(call.body ?? '').toString();
    const answer = createAnswer(key, call.requestId, random.next());
    const { requestId } = call;
    const text = Buffer.from(answer.body).toString();
    const node = from.name;
    record.executions.push({ at: time.now(), server: id, node, requestId, key, answer: text });
    watch.reachAfter('service.call', from, id);
    const incarnation = service.incarnation();
    return new Promise((resolve) => {
      time.after(WORK_MS * (0.5 + random.next()), () => {
        const isAlive = service.isUp() && service.incarnation() === incarnation;
        resolve(isAlive ? Ok(answer) : undefined);
      });
    });
  }

  return {
    id,
    address,
    call(call, signal) {
      watch.reach('service.call', from, id);
      return new Promise((resolve) => {
        let sent = false;
        const finish = (result: Result<ServiceAnswer, Failure>) => {
          from.perform(() => {
            resolve(result);
          });
        };
        signal.addEventListener('abort', () => {
          finish(Err(cancelled(id, sent)));
        });
        const arrive = async () => {
          if (signal.aborted) return;
          sent = true;
          const result = await run(call);
          const isLost = result === undefined || network.isCut(from.name, id);
          time.after(network.latency(id), () => {
            finish(isLost ? Err(lost(id)) : result);
          });
        };
        from.perform(() => {
          if (signal.aborted) return;
          if (network.isCut(from.name, id) || service?.isUp() !== true) {
            time.after(CONNECT_TIMEOUT_MS, () => {
              finish(Err(unreachable()));
            });
            return;
          }
          time.after(network.latency(id), () => {
            void arrive();
          });
        });
      });
    },
    load: () =>
      query(() => ({
        sequence: 1,
        ageMs: 0,
        running: 0,
        waiting: 0,
        kvTokensUsed: 0,
        kvTokensTotal: 1,
      })),
    state: () =>
      query((reached) => ({
        id,
        incarnation: `${id}#${reached.incarnation()}`,
        leaving: reached.isLeaving(),
        maxConcurrency: MAX_CONCURRENCY,
      })),
  };
}

/** Names the key and the request, so that no two executions answer alike. */
function createAnswer(key: string, requestId: string, chance: number): ServiceAnswer {
  const padding = chance < 0.5 ? '.'.repeat(LONG_ANSWER_CHARACTERS) : '';
  const status = chance > 1 - ERROR_SHARE ? 500 : 200;
  const body = Buffer.from(`${key} by ${requestId}${padding}`);
  return { status, contentType: 'text/plain', body };
}

function declined(peer: string): Failure {
  return createRefusal({
    code: 'no-backend-server',
    message: 'the worker declined and started nothing',
    step: 'service.call',
    peer,
  });
}

function lost(peer: string): Failure {
  return createUnknownOutcome({
    code: 'answer-incomplete',
    message: 'the connection was lost',
    step: 'service.call',
    peer,
  });
}

function cancelled(peer: string, sent: boolean): Failure {
  const detail = { code: 'cancelled', message: 'cancelled', step: 'service.call', peer } as const;
  return sent ? createUnknownOutcome(detail) : createRefusal(detail);
}
