/** The stand-in for a plain service's worker. */
export * from './stand-in.js';
