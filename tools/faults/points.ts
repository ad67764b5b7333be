/** The sentences of the brief's "What must always hold", as the invariants that the matrix judges. */

/** Every invariant, in the order of the brief; the last is that service resumes by itself. */
export const points = [
  'no conflicting orders',
  'no cut by a planned change',
  'no effect without authority',
  'the whole answer to its own request',
  'not run is true',
  'at most once',
  'a leaving server gets no new work',
  'a planned stop cuts nothing',
  'configuration in force everywhere, never back',
  'service resumes by itself',
] as const;

/** An invariant. */
export type Point = (typeof points)[number];

/** An invariant that did not hold. */
export interface Violation {
  point: Point;
  detail: string;
}
