export * from './paths.js';
export * from './loopback.js';
