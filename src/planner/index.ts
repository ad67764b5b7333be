/** The planner: assigns roles to engines by demand and the cost of a change. */
export * from './demand.js';
export * from './plan.js';
export * from './planners.js';
export * from './role-planning.js';
