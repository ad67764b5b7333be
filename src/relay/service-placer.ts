/**
 * Finds servers for requests to plain services: the least busy one by what it last said of its load
 * and what this gateway has under way there; of equals, one in the gateway's availability zone.
 */
import type { Backpressure } from '../backpressure/index.js';
import type { FleetHealth, RegisteredServer } from '../fleet/index.js';
import type { Clock, RandomSource } from '../task/index.js';
import type { Placer, Placing } from './placer.js';
import type { ServerLoad } from './protocol.js';

/** After this long a server's word on its load counts for nothing, in ms: a few services' worth of
 * work, after which its queue is another one. */
const LOAD_MEMORY_MS = 300;
/** How much busier, as a share of its slots, a server of the own zone may be and still be chosen. */
const ZONE_PREFERENCE = 0.25;
/** Random part of a server's rank, as a share of its slots, so that gateways spread. */
const SPREAD = 0.15;
/** Time after which a caller is told to come back where no server can take its request, in ms. */
const RETRY_AFTER_MS = 200;

/** Part of that time that is added at random where servers named limits or asked for a pause. */
const RETURN_SPREAD = 0.25;

/** What gateways know of how busy servers are. */
export interface ServerLoads {
  record(id: string, load: ServerLoad): void;
  started(id: string): void;
  ended(id: string): void;
  /** How busy a server is, in shares of its slots. */
  busyness(server: RegisteredServer): number;
}

/**
 * Creates a record of nothing.
 *
 * @param clock the gateway's clock
 */
export function createServerLoads(clock: Clock): ServerLoads {
  const words = new Map<string, { load: ServerLoad; at: number }>();
  const own = new Map<string, number>();
  return {
    record(id, load) {
      words.set(id, { load, at: clock.now() });
    },
    started(id) {
      own.set(id, (own.get(id) ?? 0) + 1);
    },
    ended(id) {
      const left = (own.get(id) ?? 0) - 1;
      if (left > 0) own.set(id, left);
      else own.delete(id);
    },
    busyness(server) {
      const word = words.get(server.id);
      const age = word === undefined ? LOAD_MEMORY_MS : clock.now() - word.at;
      const weight = Math.max(0, 1 - age / LOAD_MEMORY_MS);
      const told = word === undefined ? 0 : word.load.running + word.load.waiting;
      return (told * weight + (own.get(server.id) ?? 0)) / Math.max(1, server.slots);
    },
  };
}

/** What the placer of one request goes by. */
export interface ServicePlacing {
  /** Whether it may take the last room at a server that has named a limit. */
  isUrgent: boolean;
  backpressure: Pick<Backpressure, 'limits' | 'msUntilOpen' | 'acquireAllowance'>;
  servers: readonly RegisteredServer[];
  zone: string;
  health: FleetHealth;
  loads: ServerLoads;
  /** Servers that are chosen only where there is no other. */
  avoided: readonly string[];
  random: RandomSource;
}

/**
 * Creates the placer of one request.
 *
 * @param look reads the servers as they are now
 */
export function createServicePlacer(look: () => ServicePlacing): Placer {
  const tried = new Set<string>();

  function choose(placing: ServicePlacing): RegisteredServer | undefined {
    const { servers, zone, health, loads, avoided, random, backpressure } = placing;
    let best: RegisteredServer | undefined;
    let bestRank = Number.POSITIVE_INFINITY;
    for (const server of servers) {
      if (tried.has(server.id) || backpressure.msUntilOpen(server.id) > 0) continue;
      const isFit = health.isUsable(server.id) && !avoided.includes(server.id);
      const reluctance = isFit ? 0 : Number.MAX_SAFE_INTEGER / 2;
      const distance = server.zone === zone ? 0 : ZONE_PREFERENCE;
      const rank = loads.busyness(server) + distance + SPREAD * random.next() + reluctance;
      if (rank >= bestRank) continue;
      best = server;
      bestRank = rank;
    }
    return best;
  }

  /** Chooses a server, and has its limit leave room for the request where it has named one. */
  async function find(): Promise<RegisteredServer | undefined> {
    for (;;) {
      const placing = look();
      const { backpressure, isUrgent } = placing;
      const server = choose(placing);
      if (server === undefined) return undefined;
      const isLimited = backpressure.limits.isLimited(server.id);
      if (!isLimited || (await backpressure.acquireAllowance(server.id, isUrgent))) return server;
    }
  }

  function refuse(): Placing {
    const { servers, backpressure, random } = look();
    let openMs = Number.POSITIVE_INFINITY;
    for (const { id } of servers) {
      const untilOpenMs = backpressure.msUntilOpen(id);
      if (untilOpenMs > 0) openMs = Math.min(openMs, untilOpenMs);
    }
    // callers that find no room at one moment don't come back at one moment
    const roomMs = Number.isFinite(openMs) ? openMs * (1 + RETURN_SPREAD * random.next()) : 0;
    const retryAfterMs = Math.max(RETRY_AFTER_MS, roomMs);
    return { kind: 'refused', reason: 'no-server', retryAfterMs, backlogMs: 0 };
  }

  return {
    async place(): Promise<Placing> {
      const server = await find();
      if (server === undefined) return refuse();
      tried.add(server.id);
      look().loads.started(server.id);
      return { kind: 'placed', server, source: undefined, urgency: undefined };
    },
    begun() {
      // the server's load is told by its answer
    },
    sent({ server }) {
      look().loads.ended(server.id);
    },
    close() {
      // nothing is held between sends
    },
  };
}
