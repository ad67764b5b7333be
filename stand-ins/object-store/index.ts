/** The object store's stand-in. */
export * from './stand-in.js';
