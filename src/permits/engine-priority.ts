/**
 * The priority that is sent to the engine. Within one class priority, teams within their fair share
 * go before those beyond it, and short prompts before long ones.
 */

/** Engine priorities per class priority. */
const STEPS = 4;
const BEYOND_SHARE = 2;
const LONG_PROMPT = 1;

/** Properties that determine the engine priority. */
export interface Urgency {
  /** Priority of the request class; lower is more urgent. */
  priority: number;
  isBeyondShare: boolean;
  isLong: boolean;
}

/**
 * Returns the engine priority; lower is more urgent.
 *
 * @param urgency the class priority and the holder's classification
 */
export function resolveEnginePriority({ priority, isBeyondShare, isLong }: Urgency): number {
  return priority * STEPS + (isBeyondShare ? BEYOND_SHARE : 0) + (isLong ? LONG_PROMPT : 0);
}
