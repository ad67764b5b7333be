/** When requests arrived, and the turns of the event loop. */
export * from './arrivals.js';
export * from './turns.js';
