/**
 * Ends a request that got no successful answer: forwards a server's failure, or answers by itself that
 * the request did not run or that it may have. An answer that has begun is aborted.
 */
import type { Ban } from '../quarantine/index.js';
import type { Ending } from './final-answer.js';
import type { Progress } from './next-step.js';
import type { CallerRequest, RelayParts } from './request.js';
import type { SendOutcome } from './send.js';

/** Smallest and largest power of 4 that a prompt's size is told in; larger prompts count as the last. */
const SIZE_EXPONENTS = { least: 4, most: 10 } as const;

/** What a responder needs. */
export interface ResponderParts {
  parts: Pick<RelayParts, 'clock' | 'log' | 'metrics'>;
  callerRequest: CallerRequest;
  service: string;
  /** Whether the request may run more than once. */
  mayRepeat: boolean;
  progress: Progress;
  /** The request's ban, if it is banned. */
  ban(): Ban | undefined;
}

/** Why a request ends, and the backlog that decided it, in milliseconds. */
export interface RequestEnding extends Ending {
  backlogMs?: number;
}

/** Ends one request. */
export interface Responder {
  /** Forwards a server's failure, or ends the request if its caller may not be given that. */
  passOnFailure: (outcome: SendOutcome & { kind: 'failed' }) => void;
  /** Ends the request without a server's answer; aborts an answer that has begun. */
  end: (ending: RequestEnding) => void;
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

  function passOnFailure(outcome: SendOutcome & { kind: 'failed' }): void {
    const { status } = outcome.head;
    if (progress.isBegun) {
      end({ reason: 'the continuation failed', retryAfterMs: 0 });
      return;
    }
    if (!answer.passOn(outcome, terms.mayRepeat)) {
      end({ reason: `the server answered ${status}`, retryAfterMs: 0 });
      return;
    }
    metrics.failuresPassedOn.inc({ service, status: String(status) });
    log.write('failurePassedOn', {
      request: requestId,
      status,
      isSigned: outcome.facts.isSigned,
      attempts: progress.attempts,
      ms: elapsedMs(),
    });
    recordOutcome('server-failure');
  }

  function end(ending: RequestEnding): void {
    if (progress.isBegun) {
      answer.abort();
      logFailed(ending.reason, undefined);
      return;
    }
    const { status, isPromise } = answer.end(ending);
    if (isPromise) logRefused(ending);
    else logFailed(ending.reason, status);
  }

  function logRefused({ reason, retryAfterMs, backlogMs = 0 }: RequestEnding): void {
    metrics.refusals.inc({ reason });
    log.write('requestRefused', {
      request: requestId,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      backlogMs: Math.round(backlogMs),
      attempts: progress.attempts,
      fingerprint: terms.ban()?.fingerprint,
      crashes: terms.ban()?.crashes,
      ms: elapsedMs(),
    });
    recordOutcome('refused');
  }

  function logFailed(reason: string, status: number | undefined): void {
    log.write('requestFailed', {
      request: requestId,
      reason,
      status,
      run: answer.run.state(),
      attempts: progress.attempts,
      isBegun: progress.isBegun,
      ms: elapsedMs(),
    });
    recordOutcome('failed');
  }

  function elapsedMs(): number {
    return Math.round(clock.now() - arrivedAt);
  }

  function recordOutcome(outcome: string): void {
    metrics.requests.inc({ service, outcome });
    const tokens = callerRequest.head.prompt?.tokens;
    if (tokens !== undefined)
      metrics.prompts.inc({ service, outcome, tokens: resolveSize(tokens) });
    metrics.duration.observe({ service }, (clock.now() - arrivedAt) / 1_000);
  }

  return { passOnFailure, end, recordOutcome };
}

/** The least power of 4 that is not below a number of tokens, within bounds. */
function resolveSize(tokens: number): number {
  const exponent = Math.ceil(Math.log2(Math.max(1, tokens)) / 2);
  return 4 ** Math.min(SIZE_EXPONENTS.most, Math.max(SIZE_EXPONENTS.least, exponent));
}
