/**
 * Decides whether a request may be sent to a server: not while the server is leaving or has asked for
 * a pause, nor if the request's stream began at another software version. Every send of a request
 * passes this check, whichever placer selected the server.
 */
import type { Backpressure } from '../backpressure/index.js';
import { resolveServerName, type Fleet, type RegisteredServer } from '../fleet/index.js';
import type { AnswerHead } from './exchange.js';
import type { AnswerFacts } from './protocol.js';
import { isSuccess } from './send.js';
import type { StreamVersion } from './stream-version.js';

/** Dependencies of the gate. */
export interface ServerGateParts {
  fleet: Fleet;
  backpressure: Backpressure;
  service: string;
  streamVersion: Pick<StreamVersion, 'allows'>;
}

/** Checks servers before a request is sent to them. */
export interface ServerGate {
  /** The reason not to send to a server now, if there is one. */
  withholdReason: (server: RegisteredServer) => string | undefined;
  isPaused(server: RegisteredServer): boolean;
  /** Time until the first pause among the service's servers ends, in ms; 0 if none is paused. */
  msUntilResumed: () => number;
  /** Records the backpressure signals in the head of an answer. */
  headReceived: (server: RegisteredServer, head: AnswerHead, facts: AnswerFacts) => void;
}

/**
 * Creates the gate of one request.
 *
 * @param parts the fleet, the backpressure and the request
 */
export function createServerGate(parts: ServerGateParts): ServerGate {
  const { fleet, backpressure, service, streamVersion } = parts;

  function isPaused({ id }: RegisteredServer): boolean {
    return backpressure.msUntilResumed(id) > 0;
  }

  return {
    withholdReason(server) {
      if (!fleet.isAvailable(server.id)) return 'the server leaves';
      if (!streamVersion.allows(server)) return 'the stream began at another software version';
      return isPaused(server) ? 'the server asked for a pause' : undefined;
    },
    isPaused,
    msUntilResumed() {
      let soonestMs = Number.POSITIVE_INFINITY;
      for (const { id } of fleet.available(service)) {
        const remainingMs = backpressure.msUntilResumed(id);
        if (remainingMs > 0) soonestMs = Math.min(soonestMs, remainingMs);
      }
      return Number.isFinite(soonestMs) ? soonestMs : 0;
    },
    headReceived(server, head, facts) {
      const { serverId, signals } = facts;
      // signals of another incarnation do not apply to this one
      if (serverId !== undefined && serverId !== resolveServerName(server)) return;
      const isSuccessful = isSuccess(head.status) && !facts.isDeclined;
      backpressure.signalsReceived(server, signals, isSuccessful);
    },
  };
}
