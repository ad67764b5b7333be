/**
 * How a node finds places for requests: permits from the holders of shards, or, for comparison, one of
 * the simpler ways that the settings name. Part of it is telling the holders which places are in use.
 */
import type { ConfigurationReplica } from '../configuration/index.js';
import type { Log } from '../events/index.js';
import type { Links } from '../links/index.js';
import type { Membership } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Vm } from '../ports/index.js';
import {
  createBaselinePlacement,
  createDirectPlacement,
  createHolderPlacement,
  createLoadTracker,
  createServerAvailability,
  resolvePick,
  type Backends,
  type Placement,
  type PlacesInUse,
} from '../router/index.js';
import type { Settings } from '../settings/index.js';
import type { Ownership, Shard } from '../shards/index.js';
import type { Clock, RandomSource } from '../task/index.js';
import { createGroupServers } from './group-servers.js';
import type { HeldShards } from './held-shards.js';
import { createPlacesReport } from './places-report.js';
import { createPlacesTelling } from './places-telling.js';

/** Time between two readings of the servers' load where placement goes by it, in ms. */
const LOAD_EVERY_MS = 1_000;

/** What placing needs. */
export interface PlacingParts {
  node: string;
  incarnation: string;
  /** How places are found, as the settings name it. */
  placement: Settings['decisions']['placement'];
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: Metrics;
  links: Links;
  inUse: PlacesInUse;
  backends: Backends;
  createId: () => string;
  replica: ConfigurationReplica;
  membership: Membership;
  ownership: Ownership;
  held: HeldShards;
  shards: () => readonly Shard[];
}

/** Finds places for a node's requests. */
export interface Placing {
  placement: Placement;
  start(): void;
  stop(): void;
}

/**
 * Creates the parts that find places.
 *
 * @param parts the node's shards, servers and links
 */
export function createPlacing(parts: PlacingParts): Placing {
  const { node, incarnation, clock, random, log, metrics, links, inUse, backends, createId } =
    parts;
  const { replica, membership, ownership, held } = parts;

  const groupServers = createGroupServers({
    snapshot: () => replica.current(),
    shards: parts.shards,
  });
  const placesReport = createPlacesReport(links, clock, (summary) => {
    membership.shardSummaryReceived(summary);
  });
  const permits = createHolderPlacement({
    node,
    clock,
    log,
    metrics,
    links: placesReport.links,
    inUse,
    configurationVersion: () => replica.current().version,
    shardsOf: (group) => groupServers.shardsOf(group),
    localHolder: (shard) => held.find(shard),
    remoteHolder: (shard) => {
      const known = ownership.holderOf(shard);
      return known?.node === node ? undefined : known;
    },
    fallback: createDirectPlacement({
      node,
      random,
      inUse,
      createId,
      serversOf: (group) => groupServers.serversOf(group),
      shardOf,
      availability: createServerAvailability(clock, backends),
      lastKnownFree: lastFree,
    }),
  });

  const board = createLoadTracker({
    clock,
    intervalMs: LOAD_EVERY_MS,
    backends,
    servers: () => membership.vms().filter(({ kind }) => kind !== 'entry'),
  });
  const pick = resolvePick(parts.placement, random);
  const placement =
    pick === undefined
      ? permits
      : createBaselinePlacement({
          node,
          pick,
          loadTracker: board,
          inUse,
          createId,
          serversOf: (group) => groupServers.serversOf(group),
          shardOf,
        });

  const placesTelling = createPlacesTelling({
    node,
    incarnation,
    clock,
    links,
    inUse,
    report: placesReport,
    held,
    ownership,
    shards: parts.shards,
  });

  function shardOf(vm: Vm): string {
    return groupServers.shardOf(vm.id) ?? vm.service;
  }

  function lastFree(server: string): number | undefined {
    const shard = groupServers.shardOf(server);
    const summary = shard === undefined ? undefined : ownership.holderOf(shard)?.summary;
    return summary?.servers.find(({ id }) => id === server)?.free;
  }

  return {
    placement,
    start() {
      placesTelling.start();
      if (pick !== undefined) board.start();
    },
    stop() {
      placesTelling.stop();
      board.stop();
    },
  };
}
