/** Running requests on backend servers: placement, attempts, retries, request statuses. */
export * from './backend.js';
export * from './baselines/index.js';
export * from './completion.js';
export * from './direct-placement.js';
export * from './request-statuses.js';
export * from './holder-placement.js';
export * from './in-use.js';
export * from './placement.js';
export * from './retries.js';
export * from './retry-budget.js';
export * from './service-call.js';
export * from './server-availability.js';
