/** The edges of a process's life: signals, and what it waits for at its start. */
export * from './await-file.js';
export * from './settled-file.js';
export * from './signals.js';
export * from './start-stoppably.js';
