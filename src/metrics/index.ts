/** Metrics of one node. */
export * from './metrics.js';
