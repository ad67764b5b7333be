/**
 * Requests that wait for a place at a decode engine, since the few engines that can serve them are full;
 * in the order in which they came.
 */
import type { Job } from './job.js';

/** Requests that wait for a place. */
export interface PlaceQueue<Item extends { job: Job }> {
  add(item: Item): void;
  /** Removes a request; false if it didn't wait. */
  remove(item: Item): boolean;
  /**
   * Removes and returns the first request for which there is a place now.
   *
   * @param hasPlace asked once for each software version
   */
  takeNext(hasPlace: (item: Item) => boolean): Item | undefined;
}

/** Creates an empty queue. */
export function createPlaceQueue<Item extends { job: Job }>(): PlaceQueue<Item> {
  const items = new Set<Item>();
  return {
    add(item) {
      items.add(item);
    },
    remove: (item) => items.delete(item),
    takeNext(hasPlace) {
      const full = new Set<string | undefined>();
      for (const item of items) {
        const { version } = item.job;
        if (full.has(version)) continue;
        if (hasPlace(item)) {
          items.delete(item);
          return item;
        }
        full.add(version);
      }
      return undefined;
    },
  };
}
