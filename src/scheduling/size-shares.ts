/**
 * How often prompts are admitted by their size. Under load, long prompts fit in less often than short
 * ones, so admission alone would leave them unserved. A size that is behind the others is given room.
 */

/** Time constant of the counts, in ms. */
const AVERAGING_MS = 10_000;
/** Sizes in an octave of tokens. */
const SIZES_PER_OCTAVE = 2;
/** A size is behind if it is admitted less often than this, relative to all sizes. */
const MIN_RELATIVE_SHARE = 0.8;

/** Recent admissions by size; sizes are compared within a rank. */
export interface SizeShares {
  /** Records that a prompt was submitted. */
  submitted(rank: number, tokens: number, now: number): void;
  /** Records that a prompt was admitted. */
  admitted(rank: number, tokens: number, now: number): void;
  /** Whether prompts of a size are admitted clearly less often than all of their rank. */
  isBehind(rank: number, tokens: number, now: number): boolean;
}

/** Decaying numbers of prompts. */
interface Counts {
  submitted: number;
  admitted: number;
  at: number;
}

/** Creates a record without admissions. */
export function createSizeShares(): SizeShares {
  const countsByKey = new Map<string, Counts>();

  function countsOf(key: string, now: number): Counts {
    const counts = countsByKey.get(key) ?? { submitted: 0, admitted: 0, at: now };
    countsByKey.set(key, counts);
    const decay = Math.exp((counts.at - now) / AVERAGING_MS);
    counts.submitted *= decay;
    counts.admitted *= decay;
    counts.at = now;
    return counts;
  }

  function listCounts(rank: number, tokens: number, now: number): Counts[] {
    return [countsOf(keyOf(rank, tokens), now), countsOf(String(rank), now)];
  }

  return {
    submitted(rank, tokens, now) {
      for (const counts of listCounts(rank, tokens, now)) counts.submitted += 1;
    },
    admitted(rank, tokens, now) {
      for (const counts of listCounts(rank, tokens, now)) counts.admitted += 1;
    },
    isBehind(rank, tokens, now) {
      const ofSize = countsOf(keyOf(rank, tokens), now);
      const ofAll = countsOf(String(rank), now);
      const share = ofAll.submitted === 0 ? 1 : ofAll.admitted / ofAll.submitted;
      return ofSize.admitted < MIN_RELATIVE_SHARE * share * ofSize.submitted;
    },
  };
}

function keyOf(rank: number, tokens: number): string {
  return `${rank}/${Math.round(SIZES_PER_OCTAVE * Math.log2(Math.max(1, tokens)))}`;
}
