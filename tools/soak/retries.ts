/**
 * Retries of the soak's gateways, as the servers see them: all gateways and all their processes together.
 */
import { findBrokenWindow, type FleetBound, type FleetRecord } from '../common/retry-bound.js';

/** The bound that the gateways are told; small, so that restarts with too much credit exceed it. */
export const retryBound: FleetBound = { ratio: 0.1, allowance: 5, windowMs: 10_000 };

/** Counts the requests and the retries of each service. */
export interface RetryCount {
  /** A caller has sent a request on a route to a service. */
  requested(service: string): void;
  /** A request has reached a server; prefills that succeed are told apart. */
  arrived(service: string, requestId: string, isPrefilled: boolean): void;
  /** Services whose retries exceeded the bound. */
  judge(): string[];
}

interface ServiceRecord extends FleetRecord {
  arrived: Set<string>;
  prefilled: Set<string>;
}

/** Creates a count without requests. */
export function createRetryCount(): RetryCount {
  const services = new Map<string, ServiceRecord>();

  function recordOf(service: string): ServiceRecord {
    const created = { requests: [], retries: [], arrived: new Set(), prefilled: new Set() };
    const known = services.get(service) ?? (created as ServiceRecord);
    services.set(service, known);
    return known;
  }

  return {
    requested(service) {
      recordOf(service).requests.push(performance.now());
    },
    arrived(service, requestId, isPrefilled) {
      const { arrived, prefilled, retries } = recordOf(service);
      const free = isPrefilled && !prefilled.has(requestId) ? prefilled : arrived;
      if (free.has(requestId)) retries.push(performance.now());
      free.add(requestId);
    },
    judge() {
      const found: string[] = [];
      for (const [service, record] of services) {
        const window = findBrokenWindow(record, retryBound);
        if (window === undefined) continue;
        found.push(
          `${service} got ${window.retries} retries in a window, ${window.allowed} allowed`,
        );
      }
      return found;
    },
  };
}
