/** Where streams began: records, replicas and the versions that can have begun them. */
export * from './keep-time.js';
export * from './messages.js';
export * from './origin-records.js';
export * from './replicas.js';
export * from './segment-removals.js';
export * from './stored-origins.js';
export * from './stream-origins.js';
export * from './version-history.js';
export * from './version-rows.js';
