/** Claims on idempotency keys, so that non-repeatable requests run at most once. */
export * from './claims.js';
export * from './batch-writer.js';
export * from './rows.js';
export * from './sweep.js';
