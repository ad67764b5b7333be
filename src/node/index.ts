/** One node and its process. */
export * from './environment.js';
export * from './main.js';
export * from './node.js';
