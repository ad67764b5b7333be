/**
 * A token bucket that may be overdrawn by a single request larger than the bucket.
 */

/** A bucket. Times are milliseconds on one clock. */
export interface TokenBucket {
  /** Takes up to `most`, or nothing if less than `least` is available. @returns the amount taken */
  take(least: number, most: number, now: number): number;
  /** Takes `amount` even if the level becomes negative. */
  draw(amount: number, now: number): void;
  /** Time until `amount` can be taken. */
  waitMs(amount: number, now: number): number;
  /** Amount available; negative if overdrawn. */
  level(now: number): number;
}

/** A bucket's size and rate. */
export interface BucketTerms {
  perSecond: number;
  size: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a bucket.
 *
 * @param terms size and rate
 * @param now the current time
 * @param startLevel initial level; full if omitted
 */
export function createTokenBucket(
  terms: BucketTerms,
  now: number,
  startLevel = terms.size,
): TokenBucket {
  const { perSecond, size } = terms;
  let level = Math.min(size, startLevel);
  let filledAt = now;

  function fill(at: number): void {
    const added = (Math.max(0, at - filledAt) * perSecond) / MS_PER_SECOND;
    level = Math.min(size, level + added);
    filledAt = Math.max(filledAt, at);
  }

  return {
    take(least, most, at) {
      fill(at);
      // An amount larger than the bucket waits for a full bucket and overdraws it.
      if (level < Math.min(least, size)) return 0;
      const taken = Math.max(least, Math.min(most, Math.floor(level)));
      level -= taken;
      return taken;
    },
    draw(amount, at) {
      fill(at);
      level -= amount;
    },
    level(at) {
      fill(at);
      return level;
    },
    waitMs(amount, at) {
      fill(at);
      const missing = Math.min(amount, size) - level;
      return missing <= 0 ? 0 : (missing * MS_PER_SECOND) / perSecond;
    },
  };
}
