export * from './paths.js';
