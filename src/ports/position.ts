/**
 * Places in the store's history. A store that is restored from an older copy gives out its revisions again, so a
 * revision counts only within its era, which rises with each restore. A position is one number for both: greater
 * positions are later ones, whatever the era, and positions of one era lie as its revisions do.
 */

/** Revisions of one era: some 70 years at 500 a second. Eras up to 8,191 keep a position a safe integer. */
const REVISIONS_PER_ERA = 2 ** 40;

/**
 * Where a revision is in the store's history.
 *
 * @param era 0 where the store does not say
 * @param revision of the store, within the era
 */
export function resolvePosition(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** The era of a position. */
export function resolveEra(position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}

/** The revision of a position, within its era. */
export function resolveRevision(position: number): number {
  return position % REVISIONS_PER_ERA;
}
