/**
 * Maps the outcome of an exchange to the server's health record.
 */
import { match } from 'ts-pattern';
import type { HealthOutcome } from '../fleet/index.js';
import type { PrefillOutcome } from './prefill.js';
import type { SendOutcome } from './send.js';

/** How a send or a prefill ended. */
export type ExchangeOutcome = SendOutcome['kind'] | PrefillOutcome['kind'];

/**
 * Resolves how an exchange counts towards its server's health.
 *
 * @param outcome how the exchange ended
 * @returns `undefined` if the outcome says nothing about the server
 */
export function resolveHealthOutcome(outcome: ExchangeOutcome): HealthOutcome | undefined {
  return match<ExchangeOutcome, HealthOutcome | undefined>(outcome)
    .with('finished', 'read', () => 'good')
    .with('failed', () => 'error')
    .with('declined', () => 'declined')
    .with('lost', () => 'failed')
    .with('overdue', () => 'silent')
    .with('unsent', () => 'unreachable')
    .with('aborted', 'withheld', 'unpaid', 'cut', () => undefined)
    .exhaustive();
}

/** Whether an exchange reached its server, or may have. */
export function hasReachedServer(outcome: ExchangeOutcome): boolean {
  return match(outcome)
    .with('unsent', 'withheld', 'unpaid', () => false)
    .otherwise(() => true);
}
