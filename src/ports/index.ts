/** Ports to everything outside: the platform, model engines and plain services. */
export * from './model-engine.js';
export * from './object-store.js';
export * from './plain-service.js';
export * from './prefix.js';
export * from './row-feed.js';
export * from './table-service.js';
export * from './vm-list.js';
export * from './weight-store.js';
