/** The configuration: its objects, how it is decided by, followed and written. */
export * from './checks.js';
export * from './explain.js';
export * from './membership.js';
export * from './objects.js';
export * from './replica.js';
export * from './routes.js';
export * from './selectors.js';
export * from './snapshot.js';
export * from './table-records.js';
export * from './writer.js';
