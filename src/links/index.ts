/** Authenticated links between nodes and the messages on them. */
export * from './authentication.js';
export * from './codec.js';
export * from './link.js';
export * from './links.js';
export * from './messages.js';
