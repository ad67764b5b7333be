/**
 * Admission control by controlled delay (CoDel). While the event loop is overloaded, a request that has waited for more
 * than a short target is refused before any work is done for it, so that what is taken in is still answered in time.
 * Beyond its capacity the gateway then serves as much as at it; otherwise each request would be worked on until its time
 * was over, and the share that is answered would fall as more is asked for.
 */
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock, RandomSource } from '../task/index.js';
import type { Arrival } from './arrivals.js';

/** The loop is overloaded once it has not been idle for an interval: the routes' shortest latency objective, or
 * this, in ms, where that is shorter. */
const MIN_INTERVAL_MS = 100;
/** It is overloaded at once if it reads callers for this share of the interval in one turn: a burst would fill turns of
 * the interval's length before the loop was known to be overloaded. */
const MAX_TURN_SHARE = 0.2;
/** Longest wait of an admitted request under overload, as a share of the interval. */
const TARGET_SHARE = 0.05;
/** An overload is expected to last at least for so many intervals: callers who came back sooner would prolong it. */
const MIN_EXPECTED_INTERVALS = 2;
/** Longest Retry-After, as a share of the time that the caller waits, so that it can still be served then. */
const MAX_RETRY_SHARE = 0.3;
/** Longest Retry-After for callers that do not say for how long they wait, in ms. */
const MAX_RETRY_MS = 1_000;

/** Dependencies of the admission. */
export interface AdmissionParts {
  clock: Clock;
  random: RandomSource;
  log: Pick<Log, 'write'>;
  metrics: Pick<GatewayMetrics, 'refusals' | 'overloaded'>;
  /** Shortest latency objective of the routes, in ms; `undefined` while there are none. */
  objectiveMs(): number | undefined;
}

/** What becomes of a request that was just read. */
export type AdmissionDecision = { isAdmitted: true } | { isAdmitted: false; retryAfterMs: number };

/** Decides which requests are taken in. */
export interface Admission {
  /**
   * Decides on a request that was just read.
   *
   * @param arrival how long it waited, and when the event loop was idle
   * @param callerWaitMs how long its caller waits, in ms, if it says so
   */
  decide(arrival: Arrival, callerWaitMs: number | undefined): AdmissionDecision;
}

/**
 * Creates the admission control of one event loop.
 *
 * @param parts the clock, the routes' objective and what hears of overload
 */
export function createAdmission(parts: AdmissionParts): Admission {
  const { clock, random, log, metrics } = parts;
  /** When the present overload began, in ms on the clock. */
  let overloadedSince: number | undefined;
  let refused = 0;
  let refusedAt = Number.NEGATIVE_INFINITY;

  function resolveIntervalMs(): number {
    return Math.max(MIN_INTERVAL_MS, parts.objectiveMs() ?? 0);
  }

  function updateState(arrival: Arrival, intervalMs: number): void {
    const { idleAt, turnMs } = arrival;
    const now = clock.now();
    if (overloadedSince !== undefined) {
      // to be idle once is not enough: what comes then would fill the loop again
      const wasIdle = idleAt > overloadedSince;
      if (wasIdle && now - refusedAt > intervalMs) ended();
    }
    const isOverloaded = now - idleAt > intervalMs || turnMs > intervalMs * MAX_TURN_SHARE;
    if (isOverloaded && overloadedSince === undefined) began(arrival, intervalMs);
  }

  function began({ idleAt, turnMs, waitedMs }: Arrival, intervalMs: number): void {
    overloadedSince = idleAt;
    refused = 0;
    metrics.overloaded.set(1);
    log.write('overloadBegan', {
      busyForMs: Math.round(clock.now() - idleAt),
      turnMs: Math.round(turnMs),
      waitedMs: Math.round(waitedMs),
      intervalMs,
    });
  }

  function ended(): void {
    log.write('overloadEnded', { overloadedForMs: Math.round(overloadedForMs()), refused });
    metrics.overloaded.set(0);
    overloadedSince = undefined;
  }

  function overloadedForMs(): number {
    return overloadedSince === undefined ? 0 : clock.now() - overloadedSince;
  }

  /** An overload is expected to last as long again as it has lasted; callers return spread over the second half. */
  function resolveRetryAfter(intervalMs: number, callerWaitMs: number | undefined): number {
    const mostMs = callerWaitMs === undefined ? MAX_RETRY_MS : callerWaitMs * MAX_RETRY_SHARE;
    const expectedMs = Math.max(MIN_EXPECTED_INTERVALS * intervalMs, overloadedForMs());
    return Math.min(mostMs, expectedMs) * (0.5 + 0.5 * random.next());
  }

  return {
    decide(arrival, callerWaitMs) {
      const intervalMs = resolveIntervalMs();
      updateState(arrival, intervalMs);
      // the first of each turn is taken in, so that a loop whose turns are long still serves
      const isWithinTarget = arrival.waitedMs <= intervalMs * TARGET_SHARE;
      if (overloadedSince === undefined || isWithinTarget || arrival.turnMs === 0) {
        return { isAdmitted: true };
      }
      refused += 1;
      refusedAt = clock.now();
      metrics.refusals.inc({ reason: 'overloaded' });
      return { isAdmitted: false, retryAfterMs: resolveRetryAfter(intervalMs, callerWaitMs) };
    },
  };
}
