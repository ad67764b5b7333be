/** Quarantine of requests that crash backend servers. */
export * from './ban-rows.js';
export * from './crash-detector.js';
export * from './crash-ledger.js';
export * from './fingerprint.js';
export * from './messages.js';
export * from './part-keys.js';
export * from './part-successes.js';
export * from './quarantine.js';
export * from './records.js';
export * from './suspects.js';
export * from './trial-coordinator.js';
export * from './trials.js';
