/** Shards of backend servers and who holds them. */
export * from './ownership.js';
export * from './partition.js';
export * from './rows.js';
export * from './server-watch.js';
