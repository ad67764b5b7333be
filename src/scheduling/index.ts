/** Placing a service's requests on its engines. */
export * from './cached-parts.js';
export * from './holder.js';
export * from './job.js';
export * from './job-submitter.js';
export * from './paces.js';
export * from './policy.js';
export * from './prompt.js';
export * from './scheduler.js';
