/** The operator front and the shapes of what it answers. */
export * from './front.js';
export * from './parts.js';
export * from './queries/status.js';
export * from './status.js';
