/** A node's settings: their schema, and how they and secrets are read. */
export * from './load.js';
export * from './schema.js';
