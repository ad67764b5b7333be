/** What backend servers ask of those that send to them, and keeping to it. */
export { allowanceMessageSchemas, type AllowanceMessage } from './allowances.js';
export * from './backpressure.js';
export { noticesMessageSchema, type NoticesMessage } from './notices.js';
export * from './send-limits.js';
export * from './signals.js';
