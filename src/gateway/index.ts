/** A gateway, which routes callers' requests to backend servers. */
export * from './gateway.js';
export * from './settings.js';
