/**
 * Tracks a request until it ends: counts it as in flight, stores its status, and counts and logs its
 * outcome once.
 */
import { createUnknownOutcome, type Failure } from '../errors/index.js';
import type { CallerParts } from './parts.js';

/** Tracks one request. */
export interface RequestTracker {
  succeed(): void;
  /** @returns the failure, for the answer */
  fail(failure: Failure): Failure;
}

/**
 * Starts to track a request.
 *
 * @param parts the node's request statuses, metrics and log
 * @param requestId the request's id
 * @param team the team that sent it
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
 * Runs the work of a request. If it throws, the request is ended as failed, so that it does not stay
 * counted as in flight.
 *
 * @param tracker the request's tracker
 * @param node the node that the failure names as its peer
 * @param work a step of handling the request
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
 * Creates the failure of a request whose handler threw.
 *
 * @param node the node that the failure names as its peer
 */
export function createInternalFailure(node: string): Failure {
  return createUnknownOutcome({
    code: 'internal',
    message: 'internal error; see event 1005 in the log of the node',
    step: 'answer.deliver',
    peer: node,
  });
}
