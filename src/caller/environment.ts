/** Context variables that the caller front's middleware sets for its handlers. */
import type { Arrival } from './parts.js';

export interface CallerEnvironment {
  Variables: { arrival: Arrival };
}
