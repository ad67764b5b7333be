/**
 * The schedulers of a gateway, one for each service, and the choice of the gateway that schedules a
 * service for all.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayState } from '../peers/index.js';
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

/** Schedulers of a service to which a gateway keeps links: the one that is drawn, and the one that is
 * asked when that is silent. */
const LINKED_SCHEDULERS = 2;

/** What the schedulers need. */
export interface SchedulersParts {
  clock: Clock;
  log: Log;
  self: SchedulingGateway;
  /** Peers believed alive; the same array until it changes. */
  peers(): readonly GatewayState[];
  /** Engines of a service that take requests now. */
  engines(service: string): readonly RegisteredServer[];
  /** Tokens that the cache of one engine holds. */
  cacheTokens(service: string): number;
  caches: CacheLists;
  /** Room within the limits that engines have named. */
  limits: SendLimits;
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
  /** Gateways that are asked to schedule a service first. */
  preferred: (service: string) => readonly string[];
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
  let ready: SchedulingGateway[] = [];
  let readyOf: readonly GatewayState[] | undefined;
  /** Who is asked for each service, the first that is drawn first, until the peers change. */
  const drawn = new Map<string, readonly string[]>();

  function listReady(): readonly SchedulingGateway[] {
    const peers = parts.peers();
    if (peers !== readyOf) {
      ready = [self, ...peers.filter(({ isReady }) => isReady)];
      readyOf = peers;
      drawn.clear();
    }
    return ready;
  }

  function pacesOf(service: string): Paces {
    const known = paces.get(service);
    if (known !== undefined) return known;
    const created = createPaces();
    paces.set(service, created);
    return created;
  }

  function resolveAmong(service: string, isAvoided: (node: string) => boolean): string {
    const left = listReady().filter(({ node }) => !isAvoided(node));
    return resolveHolder(service, left.length > 0 ? left : [self]);
  }

  function holderOf(service: string, isAvoided: (node: string) => boolean = () => false): string {
    const first = preferred(service).find((node) => !isAvoided(node));
    return first ?? resolveAmong(service, isAvoided);
  }

  function preferred(service: string): readonly string[] {
    const count = Math.min(LINKED_SCHEDULERS, listReady().length);
    const known = drawn.get(service);
    if (known !== undefined) return known;
    const found: string[] = [];
    while (found.length < count) {
      found.push(resolveAmong(service, (node) => found.includes(node)));
    }
    drawn.set(service, found);
    return found;
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
        limits: parts.limits,
      });
      byService.set(service, created);
      return created;
    },
    holderOf,
    preferred,
  };
}
