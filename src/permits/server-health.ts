/**
 * Whether a server does what it is given: one that fails, cuts streams or is far slower than
 * foretold gets less, then nothing, and after a pause that doubles each time one request as a probe.
 * A success ends the pause; what is left of the doubt is given back request by request.
 */

/** How a permit's use speaks for or against its server. */
export type HealthSample = 'good' | 'bad';

/** The health of one server. Times are milliseconds on the holder's clock. */
export interface ServerHealth {
  record(verdict: HealthSample, now: number): void;
  /** Most requests that the server should have now, of those it has room for. */
  limit(slots: number, now: number): number;
  /** The same for a server that is used although it is ejected, because all others are too. */
  exemptLimit(slots: number): number;
  /** When an ejected server gets its probe; for the choice of the least bad one. */
  ejectedUntil(): number;
  /** Whether it gets nothing, or only a probe. */
  isEjected(): boolean;
  /** From 0, nothing against it, to 1. */
  failureScore(): number;
  /** Another process answers there now; it begins with a probe. */
  restart(): void;
}

const FAILURES_TO_EJECT = 3;
/** How far one verdict moves the doubt. */
const VERDICT_WEIGHT = 0.25;
/** Doubt below this takes nothing away, so that one cut stream costs no capacity. */
const FREE_DOUBT = 0.3;
const FIRST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 30_000;

/** Creates the health of a server with nothing against it. */
export function createServerHealth(): ServerHealth {
  let doubt = 0;
  let failures = 0;
  let ejected = false;
  let pausedUntil = 0;
  let pauseMs = FIRST_PAUSE_MS;

  function eject(now: number): void {
    // Streams that broke together are one failure, not many.
    if (ejected && now < pausedUntil) return;
    ejected = true;
    pausedUntil = now + pauseMs;
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  }

  function resolveReduced(slots: number): number {
    return Math.max(1, Math.floor(slots * (1 - doubt)));
  }

  return {
    record(verdict, now) {
      if (verdict === 'good') {
        doubt -= doubt * VERDICT_WEIGHT;
        failures = 0;
        if (!ejected) return;
        ejected = false;
        pauseMs = Math.max(FIRST_PAUSE_MS, pauseMs / 2);
        return;
      }
      doubt += (1 - doubt) * VERDICT_WEIGHT;
      failures += 1;
      if (ejected || failures >= FAILURES_TO_EJECT) eject(now);
    },
    limit(slots, now) {
      if (ejected) return now < pausedUntil ? 0 : 1;
      if (doubt <= FREE_DOUBT) return slots;
      return resolveReduced(slots);
    },
    exemptLimit: resolveReduced,
    ejectedUntil: () => pausedUntil,
    isEjected: () => ejected,
    failureScore: () => doubt,
    restart() {
      if (!ejected) return;
      pausedUntil = 0;
      pauseMs = FIRST_PAUSE_MS;
    },
  };
}
