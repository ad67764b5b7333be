/** The table service's stand-in. */
export * from './stand-in.js';
export * from './table.js';
