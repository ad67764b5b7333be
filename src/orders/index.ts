/** Orders to engines: journalled, fenced and given only while nothing runs. */
export * from './engine-orders.js';
export * from './formers.js';
export * from './group-equipment.js';
export * from './idle-wait.js';
export * from './journal.js';
export * from './load-pace.js';
export * from './next-step.js';
export * from './rows.js';
export * from './shard-orders.js';
