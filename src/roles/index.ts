/** Roles of engines: prefill or decode. */
export * from './controller.js';
export * from './order-lease.js';
export * from './orders.js';
export * from './plan.js';
