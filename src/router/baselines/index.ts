/** Placements without holders, against which placement by permits is measured. */
export * from './baseline-placement.js';
export * from './load-board.js';
export * from './server-picks.js';
