/**
 * The priority that a request carries to its engine. Within a class's priority, teams within their
 * share go before those beyond it, and short prompts before long ones.
 */

/** Priorities of an engine for each priority of a class. */
const STEPS = 4;
const BEYOND_SHARE = 2;
const LONG_PROMPT = 1;

/** What the priority is made from. */
export interface Urgency {
  /** The class's priority; lower is sooner. */
  priority: number;
  isBeyondShare: boolean;
  isLong: boolean;
}

/**
 * The priority for the engine; lower is sooner.
 *
 * @param urgency the class's priority and what the holder knows
 */
export function resolveEnginePriority({ priority, isBeyondShare, isLong }: Urgency): number {
  return priority * STEPS + (isBeyondShare ? BEYOND_SHARE : 0) + (isLong ? LONG_PROMPT : 0);
}
