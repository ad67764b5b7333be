/** Which nodes there are, and which addresses callers are to use. */
export * from './entry-points.js';
export * from './membership.js';
export * from './peers.js';
export * from './view.js';
