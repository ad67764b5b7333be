/** Limits of teams, enforced over all nodes by allowances drawn from the home node of each team. */
export * from './team-limiter.js';
export * from './home.js';
export * from './limited-runners.js';
export * from './terms.js';
export * from './token-bucket.js';
