/** The backend servers that a gateway knows, and how they fare. */
export * from './fleet.js';
export * from './health.js';
export * from './server.js';
