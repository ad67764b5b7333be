/** The caller front. */
export * from './front.js';
export * from './parts.js';
