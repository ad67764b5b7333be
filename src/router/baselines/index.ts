/** Placements without holders, against which placement by permits is measured. */
export * from './baseline-placement.js';
export * from './load-tracker.js';
export * from './server-picks.js';
