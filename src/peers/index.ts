/** Gateway-to-gateway membership, links and messages. */
export * from './membership.js';
export * from './links.js';
export * from './messages.js';
export * from './overlay.js';
export * from './routes-message.js';
