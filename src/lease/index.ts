/** Leases: one a node, without wall clocks. */
export * from './lapse-watch.js';
export * from './node-lease.js';
export * from './rows.js';
export * from './terms.js';
