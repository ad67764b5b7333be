/** Permits: the exact tally of each shard's servers and the queue before them. */
export * from './choice.js';
export * from './prefix-index.js';
export * from './queue.js';
export * from './server.js';
export * from './shard-holder.js';
