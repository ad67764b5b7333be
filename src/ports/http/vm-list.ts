/**
 * The platform's list of VMs over HTTP. The protocol is described at the port.
 */
import { Err } from 'ts-results-es';
import { createRefusal, type Failure } from '../../errors/index.js';
import { createSystemClock, type Clock } from '../../task/index.js';
import { vmsSchema, type VmList } from '../vm-list.js';
import { createHttpChannel } from './channel.js';
import { parseJson } from './json.js';

/** What the adapter is made of. */
export interface HttpVmListTerms {
  /** Origin of the service, as `http://127.0.0.1:7003`. */
  baseUrl: string;
  /** Longest time for a whole call, in milliseconds. */
  timeoutMs: number;
  clock?: Clock;
}

/**
 * Creates a list of VMs that is read over HTTP.
 *
 * @param terms address and time limit
 */
export function createHttpVmList(terms: HttpVmListTerms): VmList {
  const { baseUrl: peer, timeoutMs, clock = createSystemClock() } = terms;
  const channel = createHttpChannel({ origin: peer });

  function describe(message: string): Failure {
    return createRefusal({ code: 'peer-unreachable', message, step: 'membership.list', peer });
  }

  return {
    async list() {
      const asked = await channel.ask({ method: 'GET', path: '/v1/vms' }, { clock, timeoutMs });
      if (asked.isErr()) return Err(describe(asked.error.reason));
      const { status, body } = asked.value;
      if (status !== 200) return Err(describe(`answered status ${status}`));
      return parseJson(vmsSchema, body)
        .map((answer) => answer.vms)
        .mapErr(describe);
    },
  };
}
