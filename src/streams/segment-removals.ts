/**
 * When the stored segments of each bucket are to be removed: once their streams are over, and the oldest first where a
 * bucket has too many.
 */

/** Most segments of a bucket. */
export const MAX_SEGMENTS_PER_BUCKET = 400;

/** Times of removal, on the gateway's clock in ms, by keys. */
export type RemovalTimes = ReadonlyMap<string, number>;

/** Segments that this gateway removes. */
export interface SegmentRemovals {
  /** Segments were found; of those that are known the time stays. */
  found(bucket: number, times: RemovalTimes): void;
  /** A segment was written; it is now the newest of its bucket. */
  written(bucket: number, key: string, removeAt: number): void;
  removed(keys: readonly string[]): void;
  /** Buckets with too many segments, and how many of these there are. */
  excess(): [bucket: number, segments: number][];
  /**
   * Segments to be removed now.
   *
   * @param most how many at most
   */
  due(now: number, most: number): string[];
}

/** Creates an empty set. */
export function createSegmentRemovals(): SegmentRemovals {
  /** By bucket; oldest first. */
  const buckets = new Map<number, Map<string, number>>();

  function timesOf(bucket: number): Map<string, number> {
    const times = buckets.get(bucket) ?? new Map<string, number>();
    buckets.set(bucket, times);
    return times;
  }

  function countExcess(times: RemovalTimes): number {
    return Math.max(0, times.size - MAX_SEGMENTS_PER_BUCKET);
  }

  return {
    found(bucket, found) {
      const times = timesOf(bucket);
      for (const [key, at] of found) {
        if (!times.has(key)) times.set(key, at);
      }
    },
    written(bucket, key, removeAt) {
      const times = timesOf(bucket);
      times.delete(key);
      times.set(key, removeAt);
    },
    removed(keys) {
      for (const times of buckets.values()) {
        for (const key of keys) times.delete(key);
      }
    },
    excess() {
      const found: [number, number][] = [];
      for (const [bucket, times] of buckets) {
        const segments = countExcess(times);
        if (segments > 0) found.push([bucket, segments]);
      }
      return found;
    },
    due(now, most) {
      const keys: string[] = [];
      for (const times of buckets.values()) {
        let excess = countExcess(times);
        for (const [key, at] of times) {
          if (keys.length >= most) return keys;
          if (excess > 0 || at <= now) keys.push(key);
          excess -= 1;
        }
      }
      return keys;
    },
  };
}
