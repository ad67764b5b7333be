/**
 * The schedulers of a gateway, one for each service, and the choice of the gateway that schedules a
 * service for all.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { Peer } from '../peers/index.js';
import {
  createPaces,
  createScheduler,
  resolveHolder,
  type CacheLists,
  type Paces,
  type Scheduler,
  type SchedulingGateway,
  type SchedulingMechanisms,
} from '../scheduling/index.js';
import type { Clock } from '../task/index.js';

/** How long the list of ready gateways is remembered, in ms: it changes with heartbeats. */
const GATEWAYS_MEMORY_MS = 100;

/** What the schedulers need. */
export interface SchedulersParts {
  clock: Clock;
  log: Log;
  self: SchedulingGateway;
  peers(): readonly Peer[];
  /** Engines of a service that take requests now. */
  engines(service: string): readonly RegisteredServer[];
  /** Tokens that the cache of one engine holds. */
  cacheTokens(service: string): number;
  caches: CacheLists;
  mechanisms: SchedulingMechanisms;
}

/** The schedulers of a gateway. */
export interface Schedulers {
  /** The scheduler of a service in this process. */
  local: (service: string) => Scheduler;
  /**
   * The gateway that schedules a service, of those that are ready.
   *
   * @param isAvoided gateways that are left out
   */
  holderOf: (service: string, isAvoided?: (node: string) => boolean) => string;
  /** An engine is gone for good. */
  forget: (engine: string) => void;
}

/**
 * Creates the schedulers as they are asked for.
 *
 * @param parts the engines and the peers
 */
export function createSchedulers(parts: SchedulersParts): Schedulers {
  const { clock, log, self } = parts;
  const byService = new Map<string, Scheduler>();
  const paces = new Map<string, Paces>();
  let gateways: SchedulingGateway[] = [];
  let gatewaysAt = Number.NEGATIVE_INFINITY;

  function listGateways(): SchedulingGateway[] {
    const found = [self];
    for (const { introduction, beat } of parts.peers()) {
      if (beat?.isReady === true) found.push(introduction);
    }
    return found;
  }

  function pacesOf(service: string): Paces {
    const known = paces.get(service);
    if (known !== undefined) return known;
    const created = createPaces();
    paces.set(service, created);
    return created;
  }

  function holderOf(service: string, isAvoided: (node: string) => boolean = () => false): string {
    if (clock.now() - gatewaysAt > GATEWAYS_MEMORY_MS) {
      gateways = listGateways();
      gatewaysAt = clock.now();
    }
    const heard = gateways.filter(({ node }) => !isAvoided(node));
    return resolveHolder(service, heard.length > 0 ? heard : [self]);
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
        mechanisms: parts.mechanisms,
        paces: pacesOf(service),
        engines: () => parts.engines(service),
        cacheTokens: () => parts.cacheTokens(service),
        caches: parts.caches,
      });
      byService.set(service, created);
      return created;
    },
    holderOf,
  };
}
