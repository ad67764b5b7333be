/**
 * The task that tells holders which places this node's router has in use, so that lost messages and
 * new holders do no harm.
 */
import type { Links, PermitAdoption } from '../links/index.js';
import type { PlacesInUse } from '../router/index.js';
import type { Ownership, Shard } from '../shards/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { HeldShards } from './held-shards.js';
import type { PlacesReport } from './places-report.js';

/** Time between two tellings; a new holder relies on it before it gives orders. */
export const ADOPT_EVERY_MS = 1_000;

/** What telling needs. */
export interface PlacesTellingParts {
  node: string;
  incarnation: string;
  clock: Clock;
  links: Pick<Links, 'notify'>;
  inUse: Pick<PlacesInUse, 'byShard' | 'size'>;
  report: Pick<PlacesReport, 'isDue'>;
  held: Pick<HeldShards, 'find'>;
  ownership: Pick<Ownership, 'holderOf'>;
  shards(): readonly Shard[];
}

/** The telling task. */
export interface PlacesTelling {
  start(): void;
  stop(): void;
}

/**
 * Creates the task.
 *
 * @param parts the places and who is to hear of them
 */
export function createPlacesTelling(parts: PlacesTellingParts): PlacesTelling {
  const { node, incarnation, clock, links, inUse, report, held, ownership } = parts;
  let timer: Timer | undefined;

  function tellAll(): void {
    const byShard = inUse.byShard();
    for (const { name } of parts.shards()) {
      const permits = byShard.get(name) ?? [];
      tell({ kind: 'permit.adopt', shard: name, node, incarnation, permits });
    }
    timer = clock.after(ADOPT_EVERY_MS, tellAll);
  }

  function tell(adoption: PermitAdoption): void {
    const { shard, permits } = adoption;
    const local = held.find(shard);
    if (local !== undefined) {
      local.adopt(adoption);
      return;
    }
    const known = ownership.holderOf(shard);
    if (known === undefined) return;
    const holder = `${known.node}/${known.fence}`;
    const isDue = report.isDue({
      shard,
      holder,
      places: permits.length,
      allPlaces: inUse.size(),
    });
    if (isDue) links.notify(known.node, adoption);
  }

  return {
    start: tellAll,
    stop() {
      timer?.cancel();
    },
  };
}
