/** The command line. */
export * from './exit-code.js';
export * from './run.js';
export * from './terminal.js';
