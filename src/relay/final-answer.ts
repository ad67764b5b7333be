/**
 * Decides what a caller is told at the end of a request that has no successful answer. Some statuses are a promise to
 * the caller: the request did not run and never will. Between a server and a gateway the same statuses say nothing of
 * that, so a promise follows from the request's run record alone.
 */
import type { BackendProtocol } from './protocol.js';
import type { RunState } from './run-record.js';

/** Promises that a request, which was read in whole, did not run and never will. */
const NOT_RUN = 503;
/** The request may have run. */
const BAD_GATEWAY = 502;
/** The time limit has passed, and the request may have run. */
const GATEWAY_TIMEOUT = 504;

/** Statuses of requests that no server may be given; they promise nothing. */
export const improperStatuses = { notFound: 404, tooLarge: 413 } as const;

/** Status of a request that no server may be given. */
export type ImproperStatus = (typeof improperStatuses)[keyof typeof improperStatuses];

/** Why a request ends without a server's answer. */
export interface Ending {
  reason: string;
  /** When the caller is to come back if the request did not run, in milliseconds. */
  retryAfterMs: number;
  /** Whether the request's time limit has passed. */
  isTimeLimit?: boolean;
}

/** The gateway's own answer to a caller. */
export interface OwnAnswer {
  /** Whether it promises that the request did not run and never will. */
  isPromise: boolean;
  status: number;
  message: string;
  /** Undefined where the caller is not to come back. */
  retryAfterMs: number | undefined;
}

/**
 * Decides what the caller of a request without a server's answer is told.
 *
 * @param run whether the request ran
 * @param ending why it ends
 */
export function resolveOwnAnswer(run: RunState, ending: Ending): OwnAnswer {
  const { reason, retryAfterMs, isTimeLimit = false } = ending;
  if (run === 'not-run') {
    return { isPromise: true, status: NOT_RUN, message: `not run: ${reason}`, retryAfterMs };
  }
  const status = isTimeLimit ? GATEWAY_TIMEOUT : BAD_GATEWAY;
  return { isPromise: false, status, message: `may have run: ${reason}`, retryAfterMs: undefined };
}

/**
 * Decides whether a caller may be given a server's failure.
 *
 * @param status the status of the failure
 * @param mayRepeat whether the request may run again, so that its caller loses nothing by a wrong promise
 * @param protocol what callers take statuses for
 */
export function mayPassOn(
  status: number,
  mayRepeat: boolean,
  protocol: Pick<BackendProtocol, 'promisesNotRun'>,
): boolean {
  return mayRepeat || !protocol.promisesNotRun(status);
}
