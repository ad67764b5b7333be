/** The routing table and its lookup. */
export * from './replica.js';
export * from './route.js';
export * from './route-index.js';
