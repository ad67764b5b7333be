/** What backend servers ask of those that send to them, and keeping to it. */
export * from './backpressure.js';
export * from './signals.js';
