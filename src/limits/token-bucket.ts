/**
 * A token bucket: fills at a steady rate up to its size, and may be overdrawn by a single request
 * that is larger than the bucket.
 */

/** A bucket. Times are milliseconds on one clock. */
export interface TokenBucket {
  /** Takes up to `most`, but nothing when there is less than `least`. @returns what was taken */
  take(least: number, most: number, now: number): number;
  /** Takes `amount` whether it is there or not; what is missing is a debt. */
  draw(amount: number, now: number): void;
  /** Time until `amount` can be taken. */
  waitMs(amount: number, now: number): number;
  /** What can be taken now; negative for a debt. */
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
 * @param terms its size and rate
 * @param now the time on the clock that is used with it
 * @param startLevel what is in it; it is full where absent
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
      // What is larger than the bucket has to wait for a full one, and leaves a debt.
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
