/** Placement strategies without holders, as baselines for placement by permits. */
export * from './baseline-placement.js';
export * from './load-tracker.js';
export * from './server-picks.js';
