/** Leases: one a node, without wall clocks. */
export * from './lease-monitor.js';
export * from './node-lease.js';
export * from './rows.js';
export * from './terms.js';
