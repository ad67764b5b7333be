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
  /** Number of requests that wait. */
  size(): number;
  /** Removes and returns the first request for which there is a place now. */
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
    size: () => items.size,
    takeNext(hasPlace) {
      for (const item of items) {
        if (!hasPlace(item)) continue;
        items.delete(item);
        return item;
      }
      return undefined;
    },
  };
}
