/** Retries of requests, within a bound for all gateways together. */
export * from './budget.js';
export * from './charges.js';
export type { RetryBound } from './credit.js';
