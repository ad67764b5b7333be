/** The process that a daemon runs as: signals, what it waits for at its start, how it ends, and the memory that it holds. */
export * from './await-file.js';
export * from './endings.js';
export * from './memory-watch.js';
export * from './settled-file.js';
export * from './signals.js';
export * from './start-stoppably.js';
export * from './survive-errors.js';
