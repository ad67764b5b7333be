/** One budget for all bytes that a process holds for others. */
export * from './budget.js';
export * from './total.js';
