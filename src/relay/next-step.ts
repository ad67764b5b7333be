/**
 * What to do once a send has ended: a pure decision on what is known of the request.
 */
import { match } from 'ts-pattern';
import type { Route } from '../routing/index.js';
import type { SendOutcome } from './send.js';

/** What is known of a request between two sends. */
export interface Progress {
  /** Sends that count against the route's limit. */
  attempts: number;
  /** Sends that provably reached nobody. */
  unsent: number;
  /** A server may have run the request, or part of it. */
  mayHaveRun: boolean;
  /** The caller has received the head of an answer. */
  isBegun: boolean;
}

/** What comes next. */
export type NextStep =
  | { kind: 'done' }
  /** Ask another server; `costs` says whether the budget must allow it. */
  | { kind: 'again'; costs: boolean; reason: string }
  /** Pass the server's own failure on. */
  | { kind: 'pass-failure' }
  /** Answer that it may have run. */
  | { kind: 'fail'; reason: string }
  /** Answer that it did not run. */
  | { kind: 'refuse'; reason: string }
  /** Nobody waits for an answer, or the time is over. */
  | { kind: 'stop' };

/** Sends that reach nobody are repeated at most so often: a fleet that is cut off is not worth
 * more of the caller's time. */
const MAX_UNSENT = 3;

/**
 * Decides what comes after a send.
 *
 * @param outcome how the send ended
 * @param route the route of the request
 * @param progress what is known of the request, this send included
 */
export function resolveNextStep(outcome: SendOutcome, route: Route, progress: Progress): NextStep {
  const mayRepeat = isRepeatable(route);
  const hasAttempts = progress.attempts < route.maxAttempts;

  function giveUp(reason: string): NextStep {
    return progress.mayHaveRun ? { kind: 'fail', reason } : { kind: 'refuse', reason };
  }

  return (
    match<SendOutcome, NextStep>(outcome)
      .with({ kind: 'finished' }, () => ({ kind: 'done' }))
      .with({ kind: 'aborted' }, () => ({ kind: 'stop' }))
      .with({ kind: 'unsent' }, ({ reason }) => {
        if (progress.unsent >= MAX_UNSENT) return giveUp(reason);
        return { kind: 'again', costs: false, reason: 'unsent' };
      })
      // its placer looks elsewhere, and says so where nothing is left
      .with({ kind: 'withheld' }, () => ({ kind: 'again', costs: false, reason: 'withheld' }))
      .with({ kind: 'declined' }, () => {
        if (!hasAttempts) return giveUp('declined by the server');
        return { kind: 'again', costs: true, reason: 'declined' };
      })
      .with({ kind: 'failed' }, ({ head }) => {
        const isPassing = head.status >= 500 && mayRepeat && hasAttempts;
        if (!isPassing || progress.isBegun) return { kind: 'pass-failure' };
        return { kind: 'again', costs: true, reason: 'failed' };
      })
      .with({ kind: 'lost' }, { kind: 'overdue' }, ({ kind, reason }) => {
        const canContinue = !progress.isBegun || (route.isStream && route.isResumable);
        if (!mayRepeat || !hasAttempts || !canContinue) return { kind: 'fail', reason };
        return { kind: 'again', costs: true, reason: kind };
      })
      .exhaustive()
  );
}

/** Whether a request of a route may run again after it may have run. */
export function isRepeatable(route: Route): boolean {
  return route.repetition === 'any' || (route.isStream && route.isResumable);
}
