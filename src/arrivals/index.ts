/** How connections are accepted, when requests arrived, which are taken in, and the turns of the event loop. */
export * from './accept-waiting.js';
export * from './admission.js';
export * from './arrivals.js';
export * from './native-accept.js';
export * from './turns.js';
