/**
 * Health of a service's engines, from the outcomes of all requests that its scheduler places. A
 * single gateway sees too few requests of an engine to detect a failure quickly. An engine that stops
 * responding is detected by a timeout on the first event.
 */
import { createFleetHealth, sharedViewTerms, type HealthOutcome } from '../fleet/index.js';
import type { Log } from '../events/index.js';
import { setPeerTimeout, type Clock, type Timer } from '../task/index.js';

/** Minimum timeout for the first event, in ms: several times what it takes on a busy engine. */
const MIN_FIRST_TOKEN_TIMEOUT_MS = 400;
/** The timeout as a multiple of the average or estimated time to the first event, whichever is longer,
 * so that slow engines do not count as unresponsive. */
const TIMEOUT_FACTOR = 4;
/** Weight of the latest sample in the average time to the first event. */
const SAMPLE_WEIGHT = 0.1;

/** Health of engines. */
export interface EngineMonitor {
  /**
   * Whether an engine may be given a request. An engine on trial gets one at a time.
   *
   * @param requestCount requests that it already has
   */
  isAvailable(id: string, requestCount: number): boolean;
  /**
   * Records the outcome of a request at an engine.
   *
   * @param since when the engine was given the request, on the gateway's clock
   */
  recordOutcome(id: string, outcome: HealthOutcome, since: number): void;
  /** Records a response of an engine. */
  recordResponse(id: string): void;
  /**
   * Starts the timeout for the first event of a request.
   *
   * @param expectedMs estimated time to the first event, in milliseconds
   */
  expectFirstToken(job: string, engine: string, expectedMs: number): void;
  firstTokenReceived(job: string): void;
  /** The request has ended, with or without an answer. */
  requestEnded(job: string): void;
  /** Removes an engine that will not return. */
  forget(engine: string): void;
}

interface PendingFirstToken {
  engine: string;
  since: number;
  timer: Timer;
}

/**
 * Creates a monitor.
 *
 * @param clock the gateway's clock
 * @param log logs when an engine becomes unhealthy and when it recovers
 */
export function createEngineMonitor(clock: Clock, log: Log): EngineMonitor {
  const health = createFleetHealth(clock, log, sharedViewTerms);
  const pendingByJob = new Map<string, PendingFirstToken>();
  const lastResponseAt = new Map<string, number>();
  let averageMs = 0;

  function end(job: string): PendingFirstToken | undefined {
    const pending = pendingByJob.get(job);
    pending?.timer.cancel();
    pendingByJob.delete(job);
    return pending;
  }

  function hasRespondedSince(engine: string, since: number): boolean {
    return (lastResponseAt.get(engine) ?? Number.NEGATIVE_INFINITY) > since;
  }

  function handleTimeout({ engine, since }: PendingFirstToken): void {
    if (!hasRespondedSince(engine, since)) health.avoid(engine);
  }

  return {
    isAvailable: (id, requestCount) =>
      health.isUsable(id) && (requestCount === 0 || !health.isOnTrial(id)),
    recordOutcome(id, outcome, since) {
      if (outcome === 'good') lastResponseAt.set(id, clock.now());
      if (outcome !== 'silent') health.record(id, outcome);
      // an engine that responds to other requests is busy, otherwise it counts as unreachable
      else if (!hasRespondedSince(id, since)) health.record(id, 'unreachable');
    },
    recordResponse(id) {
      lastResponseAt.set(id, clock.now());
    },
    expectFirstToken(job, engine, expectedMs) {
      end(job);
      const timeoutMs = Math.max(
        MIN_FIRST_TOKEN_TIMEOUT_MS,
        Math.max(averageMs, expectedMs) * TIMEOUT_FACTOR,
      );
      const since = clock.now();
      const timer = setPeerTimeout(clock, timeoutMs, () => {
        handleTimeout(pending);
      });
      const pending: PendingFirstToken = { engine, since, timer };
      pendingByJob.set(job, pending);
    },
    firstTokenReceived(job) {
      const pending = end(job);
      if (pending === undefined) return;
      const now = clock.now();
      lastResponseAt.set(pending.engine, now);
      averageMs += SAMPLE_WEIGHT * (now - pending.since - averageMs);
    },
    requestEnded(job) {
      end(job);
    },
    forget(engine) {
      health.forget(engine);
      lastResponseAt.delete(engine);
    },
  };
}
