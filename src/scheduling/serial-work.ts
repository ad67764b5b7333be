/**
 * Work that an engine does serially, as seen by the scheduler: prefills, or transfers over its link.
 * The duration of an item is the time that the engine was busy with it, without its time in the
 * queue.
 */

interface Item {
  expectedMs: number;
  startedAt: number;
}

/** Work that was assigned to an engine and has not ended. */
export interface SerialWork {
  count(): number;
  /** Estimated time until all of it has ended, in milliseconds. */
  remainingMs(now: number): number;
  start(key: string, expectedMs: number, now: number): void;
  /**
   * Ends an item.
   *
   * @returns how long the engine was busy with it, in milliseconds; `undefined` for an unknown item
   */
  end(key: string, now: number): number | undefined;
}

/** Creates a record without work. */
export function createSerialWork(): SerialWork {
  const items = new Map<string, Item>();
  let lastEndAt = Number.NEGATIVE_INFINITY;

  /** How long the engine has been busy with the oldest item. */
  function busyMs(item: Item, now: number): number {
    return now - Math.max(item.startedAt, lastEndAt);
  }

  return {
    count: () => items.size,
    remainingMs(now) {
      let totalMs = 0;
      let oldest: Item | undefined;
      for (const item of items.values()) {
        oldest ??= item;
        totalMs += item.expectedMs;
      }
      if (oldest === undefined) return 0;
      const elapsedMs = busyMs(oldest, now);
      // an overdue item is expected to take as long again as it is overdue
      const overdueMs = Math.max(0, elapsedMs - oldest.expectedMs);
      return totalMs - Math.min(oldest.expectedMs, elapsedMs) + overdueMs;
    },
    start(key, expectedMs, now) {
      items.set(key, { expectedMs, startedAt: now });
    },
    end(key, now) {
      const item = items.get(key);
      if (item === undefined) return undefined;
      items.delete(key);
      const tookMs = busyMs(item, now);
      lastEndAt = now;
      return tookMs;
    },
  };
}
