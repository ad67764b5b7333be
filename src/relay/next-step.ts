/**
 * Decides what follows a send, from its outcome, the route and the request's progress.
 */
import { match } from 'ts-pattern';
import type { Route } from '../routing/index.js';
import type { SendOutcome } from './send.js';

/** A request's progress between two sends. */
export interface Progress {
  /** Sends that count towards the route's limit. */
  attempts: number;
  /** Sends that certainly reached no server. */
  unsent: number;
  /** Whether the caller has been sent the head of an answer. */
  isBegun: boolean;
}

/** What follows a send. */
export type NextStep =
  | { kind: 'done' }
  /** Try another server; `costs` says whether that takes from the retry budget. */
  | { kind: 'again'; costs: boolean; reason: string }
  /** Forward the server's failure. */
  | { kind: 'pass-failure' }
  /** End without a server's answer. */
  | { kind: 'end'; reason: string }
  /** The caller has left, the time limit has passed, or the request is banned. */
  | { kind: 'stop' };

/** Failures below 500 that another server need not give. */
const OTHERS_MAY_ANSWER: ReadonlySet<number> = new Set([408, 421, 429]);

/** Maximum number of sends that reach no server. */
const MAX_UNSENT = 3;

/**
 * Decides what follows a send.
 *
 * @param outcome how the send ended
 * @param route the route of the request
 * @param progress the request's progress, including this send
 */
export function resolveNextStep(outcome: SendOutcome, route: Route, progress: Progress): NextStep {
  const mayRepeat = isRepeatable(route);
  const hasAttempts = progress.attempts < route.maxAttempts;

  return (
    match<SendOutcome, NextStep>(outcome)
      .with({ kind: 'finished' }, () => ({ kind: 'done' }))
      .with({ kind: 'aborted' }, () => ({ kind: 'stop' }))
      .with({ kind: 'unsent' }, ({ reason }) => {
        if (progress.unsent >= MAX_UNSENT) return { kind: 'end', reason };
        return { kind: 'again', costs: false, reason: 'unsent' };
      })
      // needs no limit: the placer refuses the request once no server is left
      .with({ kind: 'withheld' }, () => ({ kind: 'again', costs: false, reason: 'withheld' }))
      .with({ kind: 'unpaid' }, ({ reason }) => ({ kind: 'end', reason }))
      .with({ kind: 'declined' }, () => {
        if (!hasAttempts) return { kind: 'end', reason: 'declined by the server' };
        return { kind: 'again', costs: true, reason: 'declined' };
      })
      .with({ kind: 'failed' }, ({ head }) => {
        const isServersOwn = head.status >= 500 || OTHERS_MAY_ANSWER.has(head.status);
        const isRetryable = isServersOwn && mayRepeat && hasAttempts;
        if (!isRetryable || progress.isBegun) return { kind: 'pass-failure' };
        return { kind: 'again', costs: true, reason: 'failed' };
      })
      .with({ kind: 'lost' }, { kind: 'overdue' }, { kind: 'cut' }, ({ kind, reason }) => {
        const canContinue = !progress.isBegun || isContinuable(route);
        if (!mayRepeat || !hasAttempts || !canContinue) return { kind: 'end', reason };
        return { kind: 'again', costs: true, reason: kind };
      })
      .exhaustive()
  );
}

/** Whether a route's requests may be sent again after they may have run. */
export function isRepeatable(route: Route): boolean {
  return route.repetition === 'any' || isContinuable(route);
}

/** Whether a broken answer of a route may be continued by another server. */
export function isContinuable({ isStream, isResumable }: Route): boolean {
  return isStream && isResumable;
}
