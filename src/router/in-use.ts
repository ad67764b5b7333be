/**
 * The places that this node's router uses at present. They are reported to holders, so that a new
 * holder learns what its predecessor granted, and a lost release does not leak a place.
 */
import type { PermitAdoption } from '../links/index.js';
import type { Place, PlacementRequest } from './placement.js';

export type PlaceInUse = PermitAdoption['permits'][number] & { shard: string };

export interface PlacesInUse {
  add(place: PlaceInUse): void;
  remove(permitId: string): void;
  /** Number of requests that this node runs on a server. */
  countOn(server: string): number;
  size(): number;
  /** Places by shard; shards without any are absent. */
  byShard(): Map<string, PlaceInUse[]>;
}

/**
 * The place of a request as holders are told of it.
 *
 * @param place where the request runs
 * @param request the request
 */
export function resolvePlaceInUse(place: Place, request: PlacementRequest): PlaceInUse {
  const { permitId, shard, server } = place;
  const { requestId, team, promptTokens, expectedOutputTokens } = request;
  const counted = { requestId, team, class: request.class, promptTokens, expectedOutputTokens };
  return { permitId, shard, server, ...counted };
}

/** Creates an empty set of places. */
export function createPlacesInUse(): PlacesInUse {
  const places = new Map<string, PlaceInUse>();
  const counts = new Map<string, number>();

  function adjustCount(server: string, change: number): void {
    const next = (counts.get(server) ?? 0) + change;
    if (next > 0) counts.set(server, next);
    else counts.delete(server);
  }

  return {
    add(place) {
      places.set(place.permitId, place);
      adjustCount(place.server, 1);
    },
    remove(permitId) {
      const place = places.get(permitId);
      if (place === undefined) return;
      places.delete(permitId);
      adjustCount(place.server, -1);
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
