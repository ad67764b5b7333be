/**
 * Lease arithmetic on monotonic clocks. The holder counts from when it sent its last renewal, a taker
 * from when it first observed the row's revision, each on its own clock. The holder's limit is shorter
 * than the taker's by the time that an order may be in transit.
 */

/** Lease durations, equal for holders and takers, in milliseconds. */
export interface LeaseTerms {
  renewEveryMs: number;
  /** How long a holder may rely on its lease after a renewal. */
  holderMs: number;
  /** How long a row must be unchanged before a taker may take it. */
  takerMs: number;
}

/** A revision of a row as observed by a taker. */
export interface Observation {
  revision: number;
  /** When this revision was first seen, on the taker's clock. */
  firstSeenAt: number;
}

/**
 * Returns the time until which the holder may rely on its lease, on the holder's clock.
 *
 * @param renewalSentAt when the last successful renewal was sent, on the holder's clock
 * @param terms the lease durations
 */
export function resolveValidUntil(renewalSentAt: number, terms: LeaseTerms): number {
  return renewalSentAt + terms.holderMs;
}

/**
 * Updates an observation with a new read of the row.
 *
 * @param known the previous observation, if any
 * @param revision the revision that was read
 * @param readAnsweredAt when the read was answered, on the taker's clock
 */
export function observeRevision(
  known: Observation | undefined,
  revision: number,
  readAnsweredAt: number,
): Observation {
  if (known?.revision === revision) return known;
  return { revision, firstSeenAt: readAnsweredAt };
}

/**
 * Whether a row's holder must have stopped relying on its lease.
 *
 * @param observation the taker's observation of the row
 * @param now the current time on the taker's clock
 * @param terms the lease durations
 */
export function isLapsed(observation: Observation, now: number, terms: LeaseTerms): boolean {
  return now - observation.firstSeenAt >= terms.takerMs;
}
