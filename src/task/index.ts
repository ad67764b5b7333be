/** Tasks, clocks and random sources. */
export * from './clock.js';
export * from './guard.js';
export * from './peer-timeout.js';
export * from './random.js';
export * from './task.js';
