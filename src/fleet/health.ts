/**
 * What one gateway has seen of each backend server's failures. A server that fails often is left
 * alone for a while and then tried again with single requests; its own health answer is not asked,
 * since a server may fail requests while it calls itself healthy.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { Clock } from '../task/index.js';

/** Weight of the newest outcome in the failure rate: about ten outcomes decide. */
const OUTCOME_WEIGHT = 0.15;
/** First pause before a server is tried again, in ms; it doubles with each failed trial. */
const FIRST_PAUSE_MS = 500;
/** Longest pause before a server is tried again, in ms: the order of a server's restart. */
const MAX_PAUSE_MS = 4_000;

/** From when on a server is avoided. */
export interface HealthTerms {
  /** Whose view it is, for the log: of one gateway, or what all gateways report together. */
  view: 'own' | 'shared';
  /** Failure rate of a server that breaks off or stays silent. */
  failureRate: number;
  /** Failure rate of a server that answers with errors of its own. */
  errorRate: number;
  /** Declines without an answer between them: a server that is full has answers between them, one
   * that is leaving or in another role has none. */
  declinesInRow: number;
  /** Times in a row that it could not be reached. */
  unreachableInRow: number;
}

/** For one gateway, which sees few requests of each server. Ordinary failures stay well below a half;
 * a seventh of a plain service's answers may be errors while nothing is wrong. */
export const singleViewTerms: HealthTerms = {
  view: 'own',
  failureRate: 0.5,
  errorRate: 0.75,
  declinesInRow: 3,
  unreachableInRow: 1,
};

/** For what all gateways report together. A server that still does half of its work is worth more
 * than none where servers are scarce, and a gateway that is cut off itself must not speak for all:
 * so nearly everything has to fail. */
export const sharedViewTerms: HealthTerms = {
  view: 'shared',
  failureRate: 0.85,
  errorRate: 0.85,
  declinesInRow: 6,
  unreachableInRow: 3,
};

/** What became of an exchange, as far as the server's health goes. */
export const healthOutcomeSchema = z.enum([
  'good',
  /** The server answered with an error of its own. */
  'error',
  /** The answer broke off or was not one. */
  'failed',
  'declined',
  /** Nothing came back in time, which a server that is busy shows as well as one that is gone. */
  'silent',
  /** No connection was made. */
  'unreachable',
]);

/** What became of an exchange, as far as the server's health goes. */
export type HealthOutcome = z.infer<typeof healthOutcomeSchema>;

/** Failure rates of servers as one gateway sees them. */
export interface FleetHealth {
  /** Takes in how an exchange with a server ended. */
  record(id: string, outcome: HealthOutcome): void;
  /** Leaves a server alone for a while, whatever its record. */
  avoid(id: string): void;
  /** Whether a server may be given requests now. */
  isUsable(id: string): boolean;
  /** Whether a server was avoided and has not shown yet that it works again: it is worth single
   * requests only. */
  isOnTrial(id: string): boolean;
  /** Forgets a server that is gone. */
  forget(id: string): void;
}

interface Record {
  failureRate: number;
  declinesInRow: number;
  unreachableInRow: number;
  avoidedUntil: number;
  pauseMs: number;
}

/**
 * Creates an empty record.
 *
 * @param clock the gateway's clock
 * @param log hears when a server is avoided and when it is trusted again
 * @param terms from when on a server is avoided
 */
export function createFleetHealth(
  clock: Clock,
  log: Log,
  terms: HealthTerms = singleViewTerms,
): FleetHealth {
  const records = new Map<string, Record>();

  function recordOf(id: string): Record {
    const known = records.get(id);
    if (known !== undefined) return known;
    const created = {
      failureRate: 0,
      declinesInRow: 0,
      unreachableInRow: 0,
      avoidedUntil: 0,
      pauseMs: FIRST_PAUSE_MS,
    };
    records.set(id, created);
    return created;
  }

  function avoidOnce(id: string, record: Record, cause: HealthOutcome | 'unresponsive'): void {
    if (record.avoidedUntil > clock.now()) return;
    record.avoidedUntil = clock.now() + record.pauseMs;
    log.write('serverAvoided', {
      server: id,
      view: terms.view,
      cause,
      rate: record.failureRate,
      pauseMs: record.pauseMs,
    });
    record.pauseMs = Math.min(MAX_PAUSE_MS, record.pauseMs * 2);
  }

  function trust(id: string, record: Record): void {
    const wasAvoided = record.pauseMs > FIRST_PAUSE_MS;
    record.pauseMs = FIRST_PAUSE_MS;
    record.avoidedUntil = 0;
    if (wasAvoided) {
      log.write('serverTrusted', { server: id, view: terms.view, rate: record.failureRate });
    }
  }

  return {
    record(id, outcome) {
      if (outcome === 'good' && !records.has(id)) return;
      const record = recordOf(id);
      record.declinesInRow = outcome === 'declined' ? record.declinesInRow + 1 : 0;
      if (outcome === 'declined') {
        if (record.declinesInRow >= terms.declinesInRow) avoidOnce(id, record, outcome);
        return;
      }
      record.unreachableInRow = outcome === 'unreachable' ? record.unreachableInRow + 1 : 0;
      const failure = outcome === 'good' ? 0 : 1;
      record.failureRate += OUTCOME_WEIGHT * (failure - record.failureRate);
      if (outcome === 'good') {
        if (record.failureRate < terms.failureRate / 2) trust(id, record);
        return;
      }
      const limit = outcome === 'error' ? terms.errorRate : terms.failureRate;
      const isLost = record.unreachableInRow >= terms.unreachableInRow;
      const isOver = isLost || record.failureRate >= limit;
      if (isOver) avoidOnce(id, record, outcome);
    },
    avoid(id) {
      avoidOnce(id, recordOf(id), 'unresponsive');
    },
    isUsable(id) {
      const record = records.get(id);
      return record === undefined || record.avoidedUntil <= clock.now();
    },
    isOnTrial(id) {
      const record = records.get(id);
      return record !== undefined && record.pauseMs > FIRST_PAUSE_MS;
    },
    forget(id) {
      records.delete(id);
    },
  };
}
