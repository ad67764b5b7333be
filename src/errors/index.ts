/** Failures, the steps at which they arise, and the HTTP status of each. */
export * from './explanations.js';
export * from './failure.js';
export * from './http-status.js';
export * from './step.js';
