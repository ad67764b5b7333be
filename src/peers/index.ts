/** Links between gateways. */
export * from './mesh.js';
export * from './messages.js';
export * from './routes-message.js';
