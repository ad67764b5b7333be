/**
 * What a request's gateway knows of whether servers want anything: the one check that all sends pass, whoever placed
 * them, and what answers say for it.
 */
import type { Backpressure } from '../backpressure/index.js';
import { resolveServerName, type Fleet, type RegisteredServer } from '../fleet/index.js';
import type { AnswerHead } from './exchange.js';
import type { AnswerFacts } from './protocol.js';
import { isSuccess } from './send.js';

/** What the gate goes by. */
export interface ServerGateParts {
  fleet: Fleet;
  backpressure: Backpressure;
  /** The service of the request. */
  service: string;
  /** The caller's id of the request. */
  requestId: string | undefined;
}

/** Whether servers want anything. */
export interface ServerGate {
  /** Why a server is to get nothing now, if so. */
  withholdReason: (server: RegisteredServer) => string | undefined;
  isPaused(server: RegisteredServer): boolean;
  /** Time until the first pause that the service's servers asked for is over, in ms; 0 where there is none. */
  msUntilResumed: () => number;
  /** Takes in what the head of an answer says of its server. */
  headReceived: (server: RegisteredServer, head: AnswerHead, facts: AnswerFacts) => void;
}

/**
 * Creates the gate of one request.
 *
 * @param parts what is known of servers
 */
export function createServerGate(parts: ServerGateParts): ServerGate {
  const { fleet, backpressure, service, requestId } = parts;

  function isPaused({ id }: RegisteredServer): boolean {
    return backpressure.msUntilResumed(id) > 0;
  }

  return {
    withholdReason(server) {
      if (!fleet.isAvailable(server.id)) return 'the server leaves';
      return isPaused(server) ? 'the server asked for a pause' : undefined;
    },
    isPaused,
    msUntilResumed() {
      let leastMs = Number.POSITIVE_INFINITY;
      for (const { id } of fleet.available(service)) {
        const leftMs = backpressure.msUntilResumed(id);
        if (leftMs > 0) leastMs = Math.min(leastMs, leftMs);
      }
      return Number.isFinite(leastMs) ? leastMs : 0;
    },
    headReceived(server, head, facts) {
      const { serverId, signals } = facts;
      // an answer of another incarnation says nothing of the one that was asked
      if (serverId !== undefined && serverId !== resolveServerName(server)) return;
      const isOurs = facts.requestId === undefined || facts.requestId === requestId;
      const isSound = isOurs && isSuccess(head.status) && !facts.isDeclined;
      backpressure.signalsReceived(server, signals, isSound);
    },
  };
}
