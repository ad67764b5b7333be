/** Numbered log events and the log that writes them. */
export * from './catalogue.js';
export * from './log.js';
export * from './bounded-log.js';
