/**
 * The schedulers of a gateway, one for each service, and the choice of the gateway that schedules a service
 * for the whole fleet.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { GatewayState } from '../peers/index.js';
import {
  createLatencyModels,
  createScheduler,
  resolveSchedulingGateway,
  type CacheInventory,
  type LatencyModels,
  type Scheduler,
  type SchedulingGateway,
  type SchedulingMechanisms,
} from '../scheduling/index.js';
import type { Clock } from '../task/index.js';

/** Gateways per service that are kept linked as schedulers: the first choice and its fallback. */
const PREFERRED_COUNT = 2;

/** Dependencies of the schedulers. */
export interface SchedulersParts {
  clock: Clock;
  log: Log;
  self: SchedulingGateway;
  /** Peers believed alive; the same array until it changes. */
  peers(): readonly GatewayState[];
  /** Engines of a service that currently take requests. */
  engines(service: string): readonly RegisteredServer[];
  /** Capacity of one engine's KV cache, in tokens. */
  cacheTokens(service: string): number;
  caches: CacheInventory;
  /** Remaining capacity within the rate limits that engines set. */
  limits: SendLimits;
  metrics: Pick<GatewayMetrics, 'engineRefusals'>;
  mechanisms: SchedulingMechanisms;
}

/** The schedulers of a gateway. */
export interface Schedulers {
  /** The scheduler of a service in this process. */
  local: (service: string) => Scheduler;
  /**
   * Name of the ready gateway that schedules a service.
   *
   * @param isExcluded tells which gateways to exclude
   */
  holderOf: (service: string, isExcluded?: (node: string) => boolean) => string;
  /** Gateways to ask to schedule a service, first choice first. */
  preferred: (service: string) => readonly string[];
  /** Removes an engine that will not return. */
  forget: (engine: string) => void;
}

/**
 * Creates the schedulers, each at its first use.
 *
 * @param parts the engines and the peers
 */
export function createSchedulers(parts: SchedulersParts): Schedulers {
  const { clock, log, self } = parts;
  const byService = new Map<string, Scheduler>();
  const paces = new Map<string, LatencyModels>();
  let ready: SchedulingGateway[] = [];
  let readyFrom: readonly GatewayState[] | undefined;
  /** Preferred gateways by service, cached until the peers change. */
  const preferredByService = new Map<string, readonly string[]>();

  function listReady(): readonly SchedulingGateway[] {
    const peers = parts.peers();
    if (peers !== readyFrom) {
      ready = [self, ...peers.filter(({ isReady }) => isReady)];
      readyFrom = peers;
      preferredByService.clear();
    }
    return ready;
  }

  function pacesOf(service: string): LatencyModels {
    const known = paces.get(service);
    if (known !== undefined) return known;
    const created = createLatencyModels();
    paces.set(service, created);
    return created;
  }

  function resolveHolderExcept(service: string, isExcluded: (node: string) => boolean): string {
    const candidates = listReady().filter(({ node }) => !isExcluded(node));
    return resolveSchedulingGateway(service, candidates.length > 0 ? candidates : [self]);
  }

  function holderOf(service: string, isExcluded: (node: string) => boolean = () => false): string {
    const first = preferred(service).find((node) => !isExcluded(node));
    return first ?? resolveHolderExcept(service, isExcluded);
  }

  function preferred(service: string): readonly string[] {
    const count = Math.min(PREFERRED_COUNT, listReady().length);
    const known = preferredByService.get(service);
    if (known !== undefined) return known;
    const nodes: string[] = [];
    while (nodes.length < count) {
      nodes.push(resolveHolderExcept(service, (node) => nodes.includes(node)));
    }
    preferredByService.set(service, nodes);
    return nodes;
  }

  return {
    forget(engine) {
      for (const scheduler of byService.values()) {
        scheduler.forget(engine);
      }
    },
    local(service) {
      const known = byService.get(service);
      if (known !== undefined) return known;
      const created = createScheduler({
        clock,
        log,
        metrics: parts.metrics,
        mechanisms: parts.mechanisms,
        latencyModels: pacesOf(service),
        engines: () => parts.engines(service),
        cacheTokens: () => parts.cacheTokens(service),
        caches: parts.caches,
        limits: parts.limits,
      });
      byService.set(service, created);
      return created;
    },
    holderOf,
    preferred,
  };
}
