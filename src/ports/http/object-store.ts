/**
 * The object store over HTTP. The protocol is described at the port.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, createRefusal, type Failure } from '../../errors/index.js';
import { createSystemClock, type Clock } from '../../task/index.js';
import type { ObjectStore } from '../object-store.js';
import { createHttpChannel, type HttpAnswer, type HttpRequest } from './channel.js';

/** What the adapter is made of. */
export interface HttpObjectStoreTerms {
  /** Origin of the service, as `http://127.0.0.1:7002`. */
  baseUrl: string;
  /** Longest time for a whole call, in milliseconds. */
  timeoutMs: number;
  clock?: Clock;
}

/**
 * Creates an object store that is reached over HTTP. A failure's outcome is `not-run` only if the
 * store provably did nothing.
 *
 * @param terms address and time limit
 */
export function createHttpObjectStore(terms: HttpObjectStoreTerms): ObjectStore {
  const { baseUrl: peer, timeoutMs, clock = createSystemClock() } = terms;
  const channel = createHttpChannel({ origin: peer });

  async function ask(
    request: HttpRequest,
    expected: number[],
  ): Promise<Result<HttpAnswer, Failure>> {
    const asked = await channel.ask(request, { clock, timeoutMs });
    if (asked.isErr()) return Err(describe(asked.error.reason, !asked.error.sent));
    const answer = asked.value;
    if (expected.includes(answer.status)) return Ok(answer);
    return Err(describe(`answered status ${answer.status}`, answer.status === 503));
  }

  function describe(message: string, nothingDone: boolean): Failure {
    const detail = {
      code: 'object-store-unavailable',
      message,
      step: 'claim.settle',
      peer,
    } as const;
    return nothingDone ? createRefusal(detail) : createUnknownOutcome(detail);
  }

  return {
    async put(key, bytes) {
      const answer = await ask({ method: 'PUT', path: resolvePath(key), body: bytes }, [204]);
      return answer.map(() => undefined);
    },
    async get(key) {
      const answer = await ask({ method: 'GET', path: resolvePath(key) }, [200, 404]);
      return answer.map((whole) => (whole.status === 404 ? undefined : whole.body));
    },
    async delete(key) {
      const answer = await ask({ method: 'DELETE', path: resolvePath(key) }, [204]);
      return answer.map(() => undefined);
    },
  };
}

function resolvePath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
