/** Limits of teams, held over all nodes by allowances that nodes draw from each team's home. */
export * from './team-limiter.js';
export * from './home.js';
export * from './limited-runners.js';
export * from './terms.js';
export * from './token-bucket.js';
