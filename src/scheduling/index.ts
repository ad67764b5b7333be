/** Placing requests on model engines. */
export * from './job-submitter.js';
export * from './holder.js';
export * from './job.js';
export * from './prompt.js';
export * from './scheduler.js';
export * from './terms.js';
