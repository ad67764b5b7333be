/**
 * How a request ends towards its caller: a server's own failure, a refusal (it did not run and will not), or a failure
 * of the gateway's own (it may have run). What was begun and can't be finished is cut.
 */
import type { Ban } from '../quarantine/index.js';
import type { Progress } from './next-step.js';
import type { CallerRequest, RelayParts } from './request.js';
import type { SendOutcome } from './send.js';

/** Statuses of the gateway's own answers. */
export const statuses = {
  notFound: 404,
  tooLarge: 413,
  /** It may have run. */
  badGateway: 502,
  /** It did not run and will not. */
  unavailable: 503,
  /** The time is over, and it may have run. */
  gatewayTimeout: 504,
} as const;

/** What an ending goes by. */
export interface ResponderParts {
  parts: Pick<RelayParts, 'clock' | 'log' | 'metrics'>;
  arrival: CallerRequest;
  service: string;
  progress: Progress;
  /** Why no server may be given the request any more, if so. */
  ban(): Ban | undefined;
}

/** The ways in which a request ends. */
export interface Responder {
  /** Passes a server's own failure on. */
  forwardFailure: (outcome: SendOutcome & { kind: 'failed' }) => void;
  /** Answers that it did not run, or that it may have, where it may. */
  refuse: (reason: string, retryAfterMs: number, backlogMs: number) => void;
  /** Answers that it may have run. */
  fail: (status: number, reason: string) => void;
  /** Counts an end. */
  recordOutcome: (outcome: string) => void;
}

/**
 * Creates the endings of one request.
 *
 * @param terms the request, and what is known of it
 */
export function createResponder(terms: ResponderParts): Responder {
  const { parts, arrival, service, progress } = terms;
  const { clock, log, metrics } = parts;
  const { answer, arrivedAt } = arrival;
  const { requestId } = arrival.head;

  function passFailure(outcome: SendOutcome & { kind: 'failed' }): void {
    if (progress.isBegun) {
      fail(statuses.badGateway, 'the continuation failed');
      return;
    }
    answer.begin(outcome.head);
    answer.write(outcome.body);
    answer.finish();
    end('server-failure');
  }

  function refuse(reason: string, retryAfterMs: number, backlogMs: number): void {
    if (progress.mayHaveRun) {
      fail(statuses.badGateway, reason);
      return;
    }
    metrics.refusals.inc({ reason });
    log.write('requestRefused', {
      request: requestId,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      backlogMs: Math.round(backlogMs),
      attempts: progress.attempts,
      fingerprint: terms.ban()?.fingerprint,
      crashes: terms.ban()?.crashes,
      ms: Math.round(clock.now() - arrivedAt),
    });
    answer.refuse(statuses.unavailable, `not run: ${reason}`, retryAfterMs);
    end('refused');
  }

  function fail(status: number, reason: string): void {
    log.write('requestFailed', {
      request: requestId,
      reason,
      status,
      attempts: progress.attempts,
      isBegun: progress.isBegun,
      ms: Math.round(clock.now() - arrivedAt),
    });
    if (progress.isBegun) answer.abort();
    else answer.refuse(status, `may have run: ${reason}`);
    end('failed');
  }

  function end(outcome: string): void {
    metrics.requests.inc({ service, outcome });
    metrics.duration.observe({ service }, (clock.now() - arrivedAt) / 1_000);
  }

  return { forwardFailure: passFailure, refuse, fail, recordOutcome: end };
}
