/** Node leases, one per node, timed by monotonic clocks only. */
export * from './lease-monitor.js';
export * from './node-lease.js';
export * from './rows.js';
export * from './terms.js';
