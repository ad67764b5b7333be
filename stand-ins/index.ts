/** Stand-ins for the platform and the backend servers, for tests, the demo and the bench. */
export * from './common/index.js';
export * from './fleet.js';
export * from './model-engine/index.js';
export * from './object-store/index.js';
export * from './plain-service/index.js';
export * from './table-service/index.js';
export * from './vm-list/index.js';
export * from './weight-store/index.js';
