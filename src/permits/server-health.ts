/**
 * Outlier detection for one server. Failures, cut streams and slow first tokens raise its failure
 * score, which lowers its limit; consecutive ones eject it. After an ejection time that doubles with
 * each ejection, it gets a single request as a probe. A success ends the ejection, and further ones
 * lower the score.
 */

/** Result of a permit's use, as it counts for the health of its server. */
export type HealthSample = 'good' | 'bad';

/** The health of one server. Times are milliseconds on the holder's clock. */
export interface ServerHealth {
  record(sample: HealthSample, now: number): void;
  /** Maximum number of concurrent requests, out of the server's slots. */
  limit(slots: number, now: number): number;
  /** The limit of a server that is used although it is ejected. */
  exemptLimit(slots: number): number;
  /** When an ejected server gets its probe. */
  ejectedUntil(): number;
  /** Whether the server gets no requests, or only a probe. */
  isEjected(): boolean;
  /** Moving average of failures, from 0 to 1. */
  failureScore(): number;
  /** The server's process was restarted: an ejected server is probed at once. */
  restart(): void;
}

/** Consecutive failures after which a server is ejected. */
const FAILURES_TO_EJECT = 3;
/** Weight of the newest sample in the failure score. */
const SAMPLE_WEIGHT = 0.25;
/** Scores up to this do not lower the limit, so that one cut stream costs no capacity. */
const TOLERATED_SCORE = 0.3;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 30_000;

/** Creates the health of a server without failures. */
export function createServerHealth(): ServerHealth {
  let score = 0;
  let failures = 0;
  let ejected = false;
  let ejectedUntil = 0;
  let ejectionMs = FIRST_EJECTION_MS;

  function eject(now: number): void {
    // Streams that break together count as one failure.
    if (ejected && now < ejectedUntil) return;
    ejected = true;
    ejectedUntil = now + ejectionMs;
    ejectionMs = Math.min(MAX_EJECTION_MS, ejectionMs * 2);
  }

  function resolveReducedLimit(slots: number): number {
    return Math.max(1, Math.floor(slots * (1 - score)));
  }

  return {
    record(sample, now) {
      if (sample === 'good') {
        score -= score * SAMPLE_WEIGHT;
        failures = 0;
        if (!ejected) return;
        ejected = false;
        ejectionMs = Math.max(FIRST_EJECTION_MS, ejectionMs / 2);
        return;
      }
      score += (1 - score) * SAMPLE_WEIGHT;
      failures += 1;
      if (ejected || failures >= FAILURES_TO_EJECT) eject(now);
    },
    limit(slots, now) {
      if (ejected) return now < ejectedUntil ? 0 : 1;
      if (score <= TOLERATED_SCORE) return slots;
      return resolveReducedLimit(slots);
    },
    exemptLimit: resolveReducedLimit,
    ejectedUntil: () => ejectedUntil,
    isEjected: () => ejected,
    failureScore: () => score,
    restart() {
      if (!ejected) return;
      ejectedUntil = 0;
      ejectionMs = FIRST_EJECTION_MS;
    },
  };
}
