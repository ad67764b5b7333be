/** One node and its process. */
export * from './main.js';
export * from './node.js';
