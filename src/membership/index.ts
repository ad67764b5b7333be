/** Which nodes there are, and which addresses callers are to use. */
export * from './entry-points.js';
export * from './membership.js';
export * from './updates.js';
export * from './shard-records.js';
export * from './view.js';
export * from './vm-watch.js';
