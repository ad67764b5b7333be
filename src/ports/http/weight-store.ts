/**
 * The weight store over HTTP. The protocol is described at the port.
 */
import { Err, type Result } from 'ts-results-es';
import * as z from 'zod';
import { createUnknownOutcome, createRefusal, type Failure } from '../../errors/index.js';
import { createSystemClock, type Clock } from '../../task/index.js';
import type { WeightStore } from '../weight-store.js';
import { createHttpChannel, type HttpAnswer } from './channel.js';
import { createJsonPost, parseJson } from './json.js';

/** What the adapter is made of. */
export interface HttpWeightStoreTerms {
  /** Origin of the service, as `http://127.0.0.1:7004`. */
  baseUrl: string;
  /** Longest time for a whole call, in milliseconds. */
  timeoutMs: number;
  clock?: Clock;
}

const ticketSchema = z.object({ ticket: z.string() });
const paceSchema = z.object({ retryAfterMs: z.number().nonnegative() });

/**
 * Creates a weight store that is reached over HTTP.
 *
 * @param terms address and time limit
 */
export function createHttpWeightStore(terms: HttpWeightStoreTerms): WeightStore {
  const { baseUrl: peer, timeoutMs, clock = createSystemClock() } = terms;
  const channel = createHttpChannel({ origin: peer });

  function doubt(message: string): Failure {
    return createUnknownOutcome({ code: 'peer-unreachable', message, step: 'load.pace', peer });
  }

  function refuse(message: string): Failure {
    return createRefusal({ code: 'peer-unreachable', message, step: 'load.pace', peer });
  }

  function resolveTicket(answer: HttpAnswer): Result<string, Failure> {
    if (answer.status === 200) {
      return parseJson(ticketSchema, answer.body)
        .map((granted) => granted.ticket)
        .mapErr(doubt);
    }
    if (answer.status !== 429) return Err(doubt(`answered status ${answer.status}`));
    const pace = parseJson(paceSchema, answer.body);
    if (pace.isErr()) return Err(doubt(pace.error));
    const refusal = createRefusal({
      code: 'rate-limited',
      message: 'the weight store gives no ticket yet',
      step: 'load.pace',
      peer,
      retryAfterMs: pace.value.retryAfterMs,
    });
    return Err(refusal);
  }

  return {
    async requestTicket(model) {
      const request = createJsonPost('/v1/tickets', { model });
      const asked = await channel.ask(request, { clock, timeoutMs });
      if (asked.isOk()) return resolveTicket(asked.value);
      const { sent, reason } = asked.error;
      return Err(sent ? doubt(reason) : refuse(reason));
    },
  };
}
