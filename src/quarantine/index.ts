/** Requests under which backend servers end. */
export * from './fingerprint.js';
