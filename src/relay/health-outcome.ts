/**
 * What the end of a send says of the server's health.
 */
import { match } from 'ts-pattern';
import type { HealthOutcome } from '../fleet/index.js';
import type { PrefillOutcome } from './prefill.js';
import type { SendOutcome } from './send.js';

/** How a send or a reading ended. */
export type ExchangeOutcome = SendOutcome['kind'] | PrefillOutcome['kind'];

/**
 * Tells what a send's end says of its server.
 *
 * @param end how it ended
 * @returns `undefined` where the end was not the server's doing
 */
export function resolveHealthOutcome(end: ExchangeOutcome): HealthOutcome | undefined {
  return match<ExchangeOutcome, HealthOutcome | undefined>(end)
    .with('finished', 'read', () => 'good')
    .with('failed', () => 'error')
    .with('declined', () => 'declined')
    .with('lost', () => 'failed')
    .with('overdue', () => 'silent')
    .with('unsent', () => 'unreachable')
    .with('aborted', 'withheld', () => undefined)
    .exhaustive();
}
