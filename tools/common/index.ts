/** What the tools share: processes, generated settings, and small clusters of them. */
export * from './cluster.js';
export * from './layout.js';
export * from './processes.js';
export * from './options.js';
