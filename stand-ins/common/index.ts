/** What all stand-ins share. */
export * from './fault.js';
export * from './own-clock.js';
export * from './rate.js';
export * from './record.js';
export * from './server.js';
export * from './settings.js';
