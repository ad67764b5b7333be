/** Knowing the others of a fleet at a cost that does not grow with it. */
export * from './choose-peers.js';
export * from './hash-name.js';
export * from './members.js';
export * from './outbox.js';
export * from './partners.js';
