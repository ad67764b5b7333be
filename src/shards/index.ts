/** Shards of backend servers and their holders. */
export * from './ownership.js';
export * from './partition.js';
export * from './rows.js';
export * from './server-watch.js';
