/** The edges of a process's life: signals, and starts that can be stopped. */
export * from './signals.js';
export * from './start-stoppably.js';
