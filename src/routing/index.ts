/** Routes of hosts and path prefixes to services. */
export * from './replica.js';
export * from './route.js';
export * from './route-index.js';
