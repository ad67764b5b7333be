/** Orders to engines: journalled, fenced and sent only while the engine is idle. */
export * from './engine-orders.js';
export * from './former-holders.js';
export * from './group-setup.js';
export * from './drain.js';
export * from './journal.js';
export * from './load-pacer.js';
export * from './next-step.js';
export * from './rows.js';
export * from './shard-orders.js';
