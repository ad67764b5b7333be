/**
 * Follows one request to its end: counts it in flight, remembers its fate and counts its outcome,
 * once.
 */
import { createUnknownOutcome, type Failure } from '../errors/index.js';
import type { CallerParts } from './parts.js';

/** Follows one request. */
export interface RequestTracker {
  succeed(): void;
  /** @returns the failure, for the answer */
  fail(failure: Failure): Failure;
}

/**
 * Starts to follow a request.
 *
 * @param parts the node's request statuses and metrics
 * @param requestId the request
 * @param team whose it is
 * @param className its class, for the metrics
 */
export function createTracker(
  parts: CallerParts,
  requestId: string,
  team: string,
  className: string,
): RequestTracker {
  const { requestStatuses, metrics, log } = parts;
  let ended = false;
  requestStatuses.begin(requestId, team);
  parts.track(1);

  function end(outcome: 'answered' | Failure['outcome'], failure?: Failure): void {
    if (ended) return;
    ended = true;
    parts.track(-1);
    metrics.requests.inc({ class: className, outcome });
    requestStatuses.end({
      requestId,
      team,
      state: outcome,
      ...(failure === undefined ? {} : { failure }),
    });
    log.write('requestFinished', { requestId, team, class: className, outcome, failure });
  }

  return {
    succeed() {
      end('answered');
    },
    fail(failure) {
      end(failure.outcome, failure);
      return failure;
    },
  };
}

/**
 * Does the work of a request. Work that throws ends the request too, so that none stays in flight.
 *
 * @param tracker what follows the request
 * @param node this node, for the failure
 * @param work what is to be done
 */
export async function runTracked<Value>(
  tracker: RequestTracker,
  node: string,
  work: () => Promise<Value>,
): Promise<Value> {
  try {
    return await work();
  } catch (error) {
    tracker.fail(createInternalFailure(node));
    throw error;
  }
}

/**
 * The failure of a request whose handling threw.
 *
 * @param node this node
 */
export function createInternalFailure(node: string): Failure {
  return createUnknownOutcome({
    code: 'internal',
    message: 'the node failed; its log says more under event 1005',
    step: 'answer.deliver',
    peer: node,
  });
}
