/** Stand-ins for the users' platform: its store and its backend servers. */
export * from './server.js';
export * from './store.js';
