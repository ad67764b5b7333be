/** Which engines read prompts and which generate. */
export * from './controller.js';
export * from './order-lease.js';
export * from './orders.js';
export * from './plan.js';
