/** Other gateways: who is there, and what they say to each other. */
export * from './membership.js';
export * from './links.js';
export * from './messages.js';
export * from './overlay.js';
export * from './routes-message.js';
