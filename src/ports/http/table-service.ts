/**
 * The table service over HTTP. The protocol is described at the port.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { z } from 'zod';
import {
  createUnknownOutcome,
  createRefusal,
  type Failure,
  type Step,
} from '../../errors/index.js';
import { createSystemClock, type Clock } from '../../task/index.js';
import {
  committedSchema,
  conflictSchema,
  rowSchema,
  rowsSchema,
  type Range,
  type TableService,
  type Transaction,
  type TransactionOutcome,
} from '../table-service.js';
import {
  createHttpChannel,
  type HttpAnswer,
  type HttpChannel,
  type HttpRequest,
  type Loss,
} from './channel.js';
import { createJsonPost, parseJson } from './json.js';

/** The calls of a table service. */
export type TableOperation = 'get' | 'range' | 'transact';

/** What became of a call, for counting. */
export type TableCallOutcome = 'ok' | 'conflict' | 'unavailable' | 'unknown';

/** What the adapter is made of. */
export interface HttpTableServiceTerms {
  /** Origin of the service, as `http://127.0.0.1:7001`. */
  baseUrl: string;
  /** Longest time for a whole call, in milliseconds. */
  timeoutMs: number;
  clock?: Clock;
  /** Hears of every call after it ended. */
  onCall?: (operation: TableOperation, outcome: TableCallOutcome) => void;
}

const READ_STEP: Step = 'configuration.read-back';
const WRITE_STEP: Step = 'configuration.transact';

/**
 * Creates a table service that is reached over HTTP. Failures name a step of the configuration;
 * who calls for another purpose puts its own step there.
 *
 * @param terms address, time limit and hooks
 */
export function createHttpTableService(terms: HttpTableServiceTerms): TableService {
  const { timeoutMs, baseUrl: peer, clock = createSystemClock() } = terms;
  /** For writes and single rows, on which claims and leases are decided: a write's answer bears no id. */
  const separate = createHttpChannel({ origin: peer, separate: true });
  /** For ranges, which are read page by page and all the time. */
  const kept = createHttpChannel({ origin: peer });

  function count(operation: TableOperation, outcome: TableCallOutcome): void {
    terms.onCall?.(operation, outcome);
  }

  async function read(
    operation: TableOperation,
    request: HttpRequest,
    channel: HttpChannel,
  ): Promise<Result<HttpAnswer, Failure>> {
    const asked = await channel.ask(request, { clock, timeoutMs });
    const result = asked
      .mapErr((loss) => describeReadFailure(peer, loss.reason))
      .andThen((answer) => checkReadStatus(peer, answer));
    count(operation, result.isOk() ? 'ok' : 'unavailable');
    return result;
  }

  return {
    async get(key) {
      const request = { method: 'GET', path: `/v1/rows/${encodeURIComponent(key)}` };
      const result = await read('get', request, separate);
      return result.andThen((answer) => {
        if (answer.status === 404) return Ok(undefined);
        return parseRead(peer, rowSchema, answer);
      });
    },
    async range(range) {
      const request = { method: 'GET', path: resolveRangePath(range) };
      const result = await read('range', request, kept);
      return result
        .andThen((answer) => parseRead(peer, rowsSchema, answer))
        .map((answer) => answer.rows);
    },
    async transact(transaction) {
      const request = createJsonPost('/v1/transactions', transaction satisfies Transaction);
      const asked = await separate.ask(request, { clock, timeoutMs });
      const outcome = asked.isOk()
        ? resolveOutcome(peer, asked.value)
        : resolveLostOutcome(peer, asked.error);
      count('transact', outcome.kind === 'committed' ? 'ok' : outcome.kind);
      return outcome;
    },
  };
}

function resolveRangePath(range: Range): string {
  const query = new URLSearchParams({ prefix: range.prefix, limit: String(range.limit) });
  if (range.after !== undefined) query.set('after', range.after);
  return `/v1/rows?${query.toString()}`;
}

function describeReadFailure(peer: string, message: string): Failure {
  return createRefusal({ code: 'table-unavailable', message, step: READ_STEP, peer });
}

function checkReadStatus(peer: string, answer: HttpAnswer): Result<HttpAnswer, Failure> {
  if (answer.status === 200 || answer.status === 404) return Ok(answer);
  return Err(describeReadFailure(peer, `answered status ${answer.status}`));
}

function parseRead<Schema extends z.ZodType>(
  peer: string,
  schema: Schema,
  answer: HttpAnswer,
): Result<z.infer<Schema>, Failure> {
  return parseJson(schema, answer.body).mapErr((message) => describeReadFailure(peer, message));
}

function resolveOutcome(peer: string, answer: HttpAnswer): TransactionOutcome {
  if (answer.status === 503) return describeUnavailable(peer, 'the service declined');
  if (answer.status === 200) {
    const committed = parseJson(committedSchema, answer.body);
    if (committed.isErr()) return describeUnknown(peer, committed.error);
    return { kind: 'committed', revision: committed.value.revision };
  }
  if (answer.status === 409) {
    const conflict = parseJson(conflictSchema, answer.body);
    if (conflict.isErr()) return describeUnknown(peer, conflict.error);
    return { kind: 'conflict', conflicts: conflict.value.conflicts };
  }
  return describeUnknown(peer, `answered status ${answer.status}`);
}

function resolveLostOutcome(peer: string, loss: Loss): TransactionOutcome {
  if (loss.sent) return describeUnknown(peer, loss.reason);
  return describeUnavailable(peer, loss.reason);
}

function describeUnavailable(peer: string, message: string): TransactionOutcome {
  const failure = createRefusal({ code: 'table-unavailable', message, step: WRITE_STEP, peer });
  return { kind: 'unavailable', failure };
}

function describeUnknown(peer: string, message: string): TransactionOutcome {
  const failure = createUnknownOutcome({ code: 'table-unknown', message, step: WRITE_STEP, peer });
  return { kind: 'unknown', failure };
}
