/** Forwards callers' requests to backend servers byte for byte. */
export * from './connections.js';
export * from './engine-placer.js';
export * from './front.js';
export * from './intake.js';
export * from './protocol.js';
export * from './request.js';
export * from './service-placer.js';
export * from './caller-retries.js';
