/**
 * Ends a request that got no successful answer: forwards a server's failure, refuses the request (it
 * did not run and will not) or fails it (it may have run). An answer that has begun is aborted.
 */
import type { Ban } from '../quarantine/index.js';
import type { Progress } from './next-step.js';
import type { CallerRequest, RelayParts } from './request.js';
import type { SendOutcome } from './send.js';

/** HTTP statuses of the gateway's own answers. */
export const statuses = {
  notFound: 404,
  tooLarge: 413,
  /** The request may have run. */
  badGateway: 502,
  /** The request did not run and will not. */
  unavailable: 503,
  /** The time limit has passed, and the request may have run. */
  gatewayTimeout: 504,
} as const;

/** Smallest and largest power of 4 that a prompt's size is told in; larger prompts count as the last. */
const SIZE_EXPONENTS = { least: 4, most: 10 } as const;

/** What a responder needs. */
export interface ResponderParts {
  parts: Pick<RelayParts, 'clock' | 'log' | 'metrics'>;
  callerRequest: CallerRequest;
  service: string;
  progress: Progress;
  /** The request's ban, if it is banned. */
  ban(): Ban | undefined;
}

/** Ends one request. */
export interface Responder {
  /** Forwards a server's failure; fails the request instead if an answer has begun. */
  forwardFailure: (outcome: SendOutcome & { kind: 'failed' }) => void;
  /** Refuses the request; fails it instead if it may have run. */
  refuse: (reason: string, retryAfterMs: number, backlogMs: number) => void;
  /** Answers that the request may have run; aborts an answer that has begun. */
  fail: (status: number, reason: string) => void;
  /** Records the request's outcome and duration in the metrics. */
  recordOutcome: (outcome: string) => void;
}

/**
 * Creates the responder of one request.
 *
 * @param terms the request and its progress
 */
export function createResponder(terms: ResponderParts): Responder {
  const { parts, callerRequest, service, progress } = terms;
  const { clock, log, metrics } = parts;
  const { answer, arrivedAt } = callerRequest;
  const { requestId } = callerRequest.head;

  function forwardFailure(outcome: SendOutcome & { kind: 'failed' }): void {
    if (progress.isBegun) {
      fail(statuses.badGateway, 'the continuation failed');
      return;
    }
    const { status } = outcome.head;
    log.write('failurePassedOn', {
      request: requestId,
      status,
      isSigned: outcome.facts.isSigned,
      attempts: progress.attempts,
      ms: Math.round(clock.now() - arrivedAt),
    });
    metrics.failuresPassedOn.inc({ service, status: String(status) });
    answer.begin(outcome.head, true);
    answer.write(outcome.body);
    answer.finish();
    recordOutcome('server-failure');
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
    recordOutcome('refused');
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
    recordOutcome('failed');
  }

  function recordOutcome(outcome: string): void {
    metrics.requests.inc({ service, outcome });
    const tokens = callerRequest.head.prompt?.tokens;
    if (tokens !== undefined)
      metrics.prompts.inc({ service, outcome, tokens: resolveSize(tokens) });
    metrics.duration.observe({ service }, (clock.now() - arrivedAt) / 1_000);
  }

  return { forwardFailure, refuse, fail, recordOutcome };
}

/** The least power of 4 that is not below a number of tokens, within bounds. */
function resolveSize(tokens: number): number {
  const exponent = Math.ceil(Math.log2(Math.max(1, tokens)) / 2);
  return 4 ** Math.min(SIZE_EXPONENTS.most, Math.max(SIZE_EXPONENTS.least, exponent));
}
