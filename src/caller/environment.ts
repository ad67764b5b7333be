/** What the caller front's middleware leaves for its handlers. */
import type { Arrival } from './parts.js';

/** Variables of a request's context. */
export interface CallerEnvironment {
  Variables: { arrival: Arrival };
}
