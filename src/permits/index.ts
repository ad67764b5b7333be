/** Permits: the shard holder, its records of servers and the queue of the shard. */
export * from './admission.js';
export * from './capacity.js';
export * from './choice.js';
export * from './eligibility.js';
export * from './engine-priority.js';
export * from './fair-share.js';
export * from './line-fit.js';
export * from './output-estimate.js';
export * from './prefix-index.js';
export * from './queue.js';
export * from './recent-use.js';
export * from './room.js';
export * from './server-health.js';
export * from './server-rates.js';
export * from './server.js';
export * from './shard-holder.js';
export * from './team-queue.js';
