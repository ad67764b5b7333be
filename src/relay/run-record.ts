/**
 * What is known of whether a request ran. Knowledge only grows: a request that may have run does not count as not run
 * again, and one that is being sent may run at any moment.
 */
import { match } from 'ts-pattern';
import type { SendOutcome } from './send.js';

/** Whether a request ran: no server can have begun it, one may have, or one has. */
export type RunState = 'not-run' | 'may-have-run' | 'ran';

/** Whether one request ran. */
export interface RunRecord {
  state(): RunState;
  /** Records that the request is about to be sent. */
  sendStarted(): void;
  /** Records how that send ended. */
  sendEnded(outcome: SendOutcome['kind']): void;
}

/** Creates the record of a request that was not sent yet. */
export function createRunRecord(): RunRecord {
  const sends = { started: 0, ended: 0 };
  let known: RunState = 'not-run';
  return {
    state() {
      if (known === 'not-run' && sends.started > sends.ended) return 'may-have-run';
      return known;
    },
    sendStarted() {
      sends.started += 1;
    },
    sendEnded(outcome) {
      sends.ended += 1;
      const shown = resolveRunState(outcome);
      if (shown === 'ran' || known === 'not-run') known = shown;
    },
  };
}

/** What one send shows: only a server that says so, or got nothing, has not run its request. */
function resolveRunState(outcome: SendOutcome['kind']): RunState {
  return match<SendOutcome['kind'], RunState>(outcome)
    .with('declined', 'unsent', 'withheld', 'unpaid', () => 'not-run')
    .with('lost', 'overdue', 'cut', 'aborted', () => 'may-have-run')
    .with('finished', 'failed', () => 'ran')
    .exhaustive();
}
