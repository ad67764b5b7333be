/** The caller front. */
export * from './answers.js';
export * from './front.js';
export * from './parts.js';
