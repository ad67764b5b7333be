/** The process that a daemon runs as: how it ends, and the memory that it holds. */
export * from './endings.js';
export * from './memory-watch.js';
