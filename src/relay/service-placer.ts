/**
 * Selects servers for requests to plain services: the one with the lowest utilization, from its last
 * load report and this gateway's own requests, with a preference for the gateway's availability zone.
 */
import type { Backpressure } from '../backpressure/index.js';
import type { FleetHealth, RegisteredServer } from '../fleet/index.js';
import type { Clock, RandomSource } from '../task/index.js';
import type { Placer, PlacementResult } from './placer.js';
import type { ServerLoad } from './protocol.js';

/** Time over which the weight of a server's load report falls to 0, in ms: a few requests' worth of work,
 * after which its queue is another one. */
const LOAD_REPORT_TTL_MS = 300;
/** How much higher the utilization of a server in this zone may be for it to be preferred. */
const ZONE_PREFERENCE = 0.25;
/** Random part of a server's score, in utilization, so that gateways do not all select the same one. */
const SCORE_JITTER = 0.15;
/** Least Retry-After where no server can take a request, in ms. */
const RETRY_AFTER_MS = 200;

/** Jitter added to the Retry-After where servers are rate limited or paused, as a share of it. */
const RETRY_JITTER = 0.25;

/** Tracks the load of servers. */
export interface ServerLoads {
  record(id: string, load: ServerLoad): void;
  started(id: string): void;
  ended(id: string): void;
  /** Running and waiting requests, as a share of the server's slots. */
  utilization(server: RegisteredServer): number;
}

/**
 * Creates a tracker without load reports.
 *
 * @param clock the gateway's clock
 */
export function createServerLoads(clock: Clock): ServerLoads {
  const reports = new Map<string, { load: ServerLoad; at: number }>();
  const inFlight = new Map<string, number>();
  return {
    record(id, load) {
      reports.set(id, { load, at: clock.now() });
    },
    started(id) {
      inFlight.set(id, (inFlight.get(id) ?? 0) + 1);
    },
    ended(id) {
      const left = (inFlight.get(id) ?? 0) - 1;
      if (left > 0) inFlight.set(id, left);
      else inFlight.delete(id);
    },
    utilization(server) {
      const report = reports.get(server.id);
      const age = report === undefined ? LOAD_REPORT_TTL_MS : clock.now() - report.at;
      const weight = Math.max(0, 1 - age / LOAD_REPORT_TTL_MS);
      const reported = report === undefined ? 0 : report.load.running + report.load.waiting;
      return (reported * weight + (inFlight.get(server.id) ?? 0)) / Math.max(1, server.slots);
    },
  };
}

/** The servers of a service, and what their placement depends on. */
export interface ServicePlacementState {
  /** Whether the request may use the reserved part of a server's rate limit. */
  isUrgent: boolean;
  backpressure: Pick<Backpressure, 'limits' | 'msUntilOpen' | 'acquireAllowance'>;
  servers: readonly RegisteredServer[];
  zone: string;
  health: FleetHealth;
  loads: ServerLoads;
  /** Servers to select only if there is no other. */
  avoided: readonly string[];
  random: RandomSource;
}

/**
 * Creates the placer of one request.
 *
 * @param readState returns the current state; called anew for each decision
 */
export function createServicePlacer(readState: () => ServicePlacementState): Placer {
  const tried = new Set<string>();

  function select(state: ServicePlacementState): RegisteredServer | undefined {
    const { servers, zone, health, loads, avoided, random, backpressure } = state;
    let best: RegisteredServer | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const server of servers) {
      if (tried.has(server.id) || backpressure.msUntilOpen(server.id) > 0) continue;
      const isPreferred = health.isUsable(server.id) && !avoided.includes(server.id);
      const penalty = isPreferred ? 0 : Number.MAX_SAFE_INTEGER / 2;
      const zonePenalty = server.zone === zone ? 0 : ZONE_PREFERENCE;
      const score =
        loads.utilization(server) + zonePenalty + SCORE_JITTER * random.next() + penalty;
      if (score >= bestScore) continue;
      best = server;
      bestScore = score;
    }
    return best;
  }

  /** Selects a server; if it is rate limited, also acquires its permission for the request. */
  async function find(): Promise<RegisteredServer | undefined> {
    for (;;) {
      const state = readState();
      const { backpressure, isUrgent } = state;
      const server = select(state);
      if (server === undefined) return undefined;
      const isLimited = backpressure.limits.isLimited(server.id);
      if (!isLimited || (await backpressure.acquireAllowance(server.id, isUrgent))) return server;
    }
  }

  function refuse(): PlacementResult {
    const { servers, backpressure, random } = readState();
    let openMs = Number.POSITIVE_INFINITY;
    for (const { id } of servers) {
      const untilOpenMs = backpressure.msUntilOpen(id);
      if (untilOpenMs > 0) openMs = Math.min(openMs, untilOpenMs);
    }
    // jitter keeps callers that are refused together from retrying together
    const jitteredMs = Number.isFinite(openMs) ? openMs * (1 + RETRY_JITTER * random.next()) : 0;
    const retryAfterMs = Math.max(RETRY_AFTER_MS, jitteredMs);
    return { kind: 'refused', reason: 'no-server', retryAfterMs, backlogMs: 0 };
  }

  return {
    async place(): Promise<PlacementResult> {
      const server = await find();
      if (server === undefined) return refuse();
      tried.add(server.id);
      readState().loads.started(server.id);
      return { kind: 'placed', server, source: undefined, urgency: undefined };
    },
    answerBegun() {
      // loads are recorded from the head of the answer
    },
    sendEnded({ server }) {
      readState().loads.ended(server.id);
    },
    close() {
      // nothing is held between sends
    },
  };
}
