/**
 * A budget for sends beyond the first of each request, kept by each gateway for each service so
 * that all gateways together stay within what the fleet allows. A gateway spends a ratio of the
 * requests that it sees itself, which needs no agreement, and its part of a fixed allowance.
 */
import type { Clock } from '../task/index.js';

/** What the fleet allows. */
export interface SendBudgetTerms {
  /** Sends beyond the first for each request. */
  ratio: number;
  /** Further sends in a window, for all gateways together. */
  allowance: number;
  /** Length of a window, in milliseconds. */
  windowMs: number;
}

/** Part of what is allowed that is used; the rest covers gateways whose windows differ. */
const USED_SHARE = 0.8;
/** Gateways that are reckoned with at least, since a gateway that has just started, or is cut off,
 * does not know the others. */
const LEAST_GATEWAYS = 8;

/** The budget of one gateway. */
export interface SendBudget {
  /** A request for a service came. */
  earn(service: string): void;
  /** Whether a send beyond the first is left in this window. */
  hasLeft(service: string): boolean;
  /** Takes one send beyond the first; false when none is left in this window. */
  spend(service: string): boolean;
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
 * @param terms what the fleet allows now
 * @param gateways how many gateways are known, this one included
 */
export function createSendBudget(
  clock: Clock,
  terms: () => SendBudgetTerms,
  gateways: () => number,
): SendBudget {
  const windows = new Map<string, Window>();

  function windowOf(service: string): Window {
    const known = windows.get(service) ?? { earned: [], spent: [] };
    windows.set(service, known);
    const before = clock.now() - terms().windowMs;
    dropBefore(known.earned, before);
    dropBefore(known.spent, before);
    return known;
  }

  function hasLeft(service: string): boolean {
    const { earned, spent } = windowOf(service);
    const { allowance, ratio } = terms();
    const part = allowance / Math.max(LEAST_GATEWAYS, gateways());
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
  };
}

function dropBefore(times: number[], before: number): void {
  let old = 0;
  while (old < times.length && (times[old] ?? 0) < before) old += 1;
  if (old > 0) times.splice(0, old);
}
