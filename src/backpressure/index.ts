/** Backpressure signals of backend servers, and compliance with them. */
export { allowanceMessageSchemas, type AllowanceMessage } from './allowances.js';
export * from './backpressure.js';
export { noticesMessageSchema, type NoticesMessage } from './notices.js';
export * from './send-limits.js';
export * from './signals.js';
