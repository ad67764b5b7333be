/**
 * A budget for sends beyond the first of each request, by gateway and service. A gateway may spend a
 * ratio of its own requests and its part of an allowance that all gateways share, so the fleet stays
 * within its bound without coordination.
 */
import type { Clock } from '../task/index.js';

/** Bounds for all gateways. */
export interface SendBudgetTerms {
  /** Sends beyond the first, per request. */
  ratio: number;
  /** Additional sends per window, for all gateways together. */
  allowance: number;
  /** Length of a window, in milliseconds. */
  windowMs: number;
}

/** Share of the bound that is used; the rest covers gateways whose windows differ. */
const USED_SHARE = 0.8;
/** Minimum number of gateways assumed: a new or partitioned gateway does not know the others. */
const MIN_GATEWAYS = 8;

/** The budget of one gateway. */
export interface SendBudget {
  /** Records a request for a service. */
  earn(service: string): void;
  /** Whether a send beyond the first is left in this window. */
  hasLeft(service: string): boolean;
  /** Takes one send beyond the first; false if none is left in this window. */
  spend(service: string): boolean;
  /** What the last decision went by. */
  state(service: string): SendBudgetState;
}

/** The state of a budget for one service. */
export interface SendBudgetState {
  /** Requests in the window. */
  earned: number;
  /** Sends beyond the first in the window. */
  spent: number;
  /** Gateways between which the allowance is divided. */
  gateways: number;
  /** How long this gateway has kept the budget, in milliseconds. */
  ageMs: number;
}

/** Times of events within the last window. */
interface Window {
  earned: number[];
  spent: number[];
}

/**
 * Creates a budget.
 *
 * @param clock the gateway's clock
 * @param terms the current bounds
 * @param gateways number of known gateways, this one included
 */
export function createSendBudget(
  clock: Clock,
  terms: () => SendBudgetTerms,
  gateways: () => number,
): SendBudget {
  const windows = new Map<string, Window>();
  const createdAt = clock.now();

  function windowOf(service: string): Window {
    const known = windows.get(service) ?? { earned: [], spent: [] };
    windows.set(service, known);
    const before = clock.now() - terms().windowMs;
    dropBefore(known.earned, before);
    dropBefore(known.spent, before);
    return known;
  }

  function resolveGateways(): number {
    return Math.max(MIN_GATEWAYS, gateways());
  }

  function hasLeft(service: string): boolean {
    const { earned, spent } = windowOf(service);
    const { allowance, ratio } = terms();
    const part = allowance / resolveGateways();
    return spent.length + 1 <= USED_SHARE * (ratio * earned.length + part);
  }

  return {
    earn(service) {
      windowOf(service).earned.push(clock.now());
    },
    hasLeft,
    spend(service) {
      if (!hasLeft(service)) return false;
      windowOf(service).spent.push(clock.now());
      return true;
    },
    state(service) {
      const { earned, spent } = windowOf(service);
      return {
        earned: earned.length,
        spent: spent.length,
        gateways: resolveGateways(),
        ageMs: Math.round(clock.now() - createdAt),
      };
    },
  };
}

function dropBefore(times: number[], before: number): void {
  let expired = 0;
  while (expired < times.length && (times[expired] ?? 0) < before) expired += 1;
  if (expired > 0) times.splice(0, expired);
}
