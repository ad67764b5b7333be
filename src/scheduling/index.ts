/** Places the requests of a service on its engines. */
export * from './cached-parts.js';
export * from './scheduling-gateway.js';
export * from './job.js';
export * from './job-submitter.js';
export * from './latency-models.js';
export * from './policy.js';
export * from './prompt.js';
export * from './scheduler.js';
