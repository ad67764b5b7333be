/**
 * Follows how the engines of a service fare with all requests that its scheduler places, whichever
 * gateway sends them. One gateway alone sees too few requests of an engine to judge it soon; and an
 * engine that has fallen silent shows first in that nothing comes back from it.
 */
import { createFleetHealth, sharedViewTerms, type HealthOutcome } from '../fleet/index.js';
import type { Log } from '../events/index.js';
import { setPeerTimeout, type Clock, type Timer } from '../task/index.js';

/** Shortest time without a first event after which an engine counts as silent, in ms: several times
 * what the first event takes on a busy engine of the deployments at hand (some tens of ms). */
const LEAST_SILENCE_MS = 400;
/** How many usual times to the first event a generation may take before its engine counts as silent,
 * so that engines that are slow by nature are not taken for silent ones. */
const SILENCE_FACTOR = 4;
/** Weight of the newest time to the first event in the usual one: about ten decide. */
const TIME_WEIGHT = 0.1;

/** How engines fare. */
export interface EngineMonitor {
  /**
   * Whether an engine may be given a request.
   *
   * @param inUse requests that it has already
   */
  isAvailable(id: string, inUse: number): boolean;
  /**
   * Takes in how an engine's part in a request ended.
   *
   * @param since when the engine was given the request, on the gateway's clock
   */
  recordOutcome(id: string, outcome: HealthOutcome, since: number): void;
  /** An engine has given a sign of life. */
  recordResponse(id: string): void;
  /**
   * An engine is to generate.
   *
   * @param expectedMs how long it is expected to take until the first event, in milliseconds
   */
  expectFirstToken(job: string, engine: string, expectedMs: number): void;
  /** The first event of a generation has come. */
  firstTokenReceived(job: string): void;
  /** A request has ended, however. */
  requestEnded(job: string): void;
  /** An engine is gone for good. */
  forget(engine: string): void;
}

interface Expectation {
  engine: string;
  since: number;
  timer: Timer;
}

/**
 * Creates a watch that has seen nothing.
 *
 * @param clock the gateway's clock
 * @param log hears when an engine is avoided and when it is trusted again
 */
export function createEngineMonitor(clock: Clock, log: Log): EngineMonitor {
  const health = createFleetHealth(clock, log, sharedViewTerms);
  const expectations = new Map<string, Expectation>();
  /** When each engine last gave a sign of life. */
  const heardAt = new Map<string, number>();
  let usualMs = 0;

  function end(job: string): Expectation | undefined {
    const expectation = expectations.get(job);
    expectation?.timer.cancel();
    expectations.delete(job);
    return expectation;
  }

  function isHeardSince(engine: string, since: number): boolean {
    return (heardAt.get(engine) ?? Number.NEGATIVE_INFINITY) > since;
  }

  function noticeSilence({ engine, since }: Expectation): void {
    if (!isHeardSince(engine, since)) health.avoid(engine);
  }

  return {
    isAvailable: (id, inUse) => health.isUsable(id) && (inUse === 0 || !health.isOnTrial(id)),
    recordOutcome(id, outcome, since) {
      if (outcome === 'good') heardAt.set(id, clock.now());
      if (outcome !== 'silent') health.record(id, outcome);
      // an engine that is heard is busy; one that is not is as good as out of reach
      else if (!isHeardSince(id, since)) health.record(id, 'unreachable');
    },
    recordResponse(id) {
      heardAt.set(id, clock.now());
    },
    expectFirstToken(job, engine, expectedMs) {
      end(job);
      const silenceMs = Math.max(LEAST_SILENCE_MS, Math.max(usualMs, expectedMs) * SILENCE_FACTOR);
      const since = clock.now();
      const timer = setPeerTimeout(clock, silenceMs, () => {
        noticeSilence(expectation);
      });
      const expectation: Expectation = { engine, since, timer };
      expectations.set(job, expectation);
    },
    firstTokenReceived(job) {
      const expectation = end(job);
      if (expectation === undefined) return;
      const now = clock.now();
      heardAt.set(expectation.engine, now);
      usualMs += TIME_WEIGHT * (now - expectation.since - usualMs);
    },
    requestEnded(job) {
      end(job);
    },
    forget(engine) {
      health.forget(engine);
      heardAt.delete(engine);
    },
  };
}
