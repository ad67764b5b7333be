/**
 * The places that this node's router uses at the moment. Holders are told of them, so that a new
 * holder knows what its predecessor granted and a lost message leaves no place taken for ever.
 */
import type { PermitAdoption } from '../links/index.js';

/** A place in use. */
export type PlaceInUse = PermitAdoption['permits'][number] & { shard: string };

/** All places in use at this node. */
export interface PlacesInUse {
  add(place: PlaceInUse): void;
  remove(permitId: string): void;
  /** How many requests this node runs on a server. */
  countOn(server: string): number;
  size(): number;
  /** Places by shard, for the shards with any. */
  byShard(): Map<string, PlaceInUse[]>;
}

/** Creates an empty set of places. */
export function createPlacesInUse(): PlacesInUse {
  const places = new Map<string, PlaceInUse>();
  const counts = new Map<string, number>();

  function count(server: string, change: number): void {
    const next = (counts.get(server) ?? 0) + change;
    if (next > 0) counts.set(server, next);
    else counts.delete(server);
  }

  return {
    add(place) {
      places.set(place.permitId, place);
      count(place.server, 1);
    },
    remove(permitId) {
      const place = places.get(permitId);
      if (place === undefined) return;
      places.delete(permitId);
      count(place.server, -1);
    },
    countOn: (server) => counts.get(server) ?? 0,
    size: () => places.size,
    byShard() {
      const grouped = new Map<string, PlaceInUse[]>();
      for (const place of places.values()) {
        const group = grouped.get(place.shard) ?? [];
        group.push(place);
        grouped.set(place.shard, group);
      }
      return grouped;
    },
  };
}
