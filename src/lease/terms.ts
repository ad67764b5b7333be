/**
 * Lease arithmetic. No wall clock is read: a holder counts from before it sent its renewal, a taker
 * from when it first saw the row unchanged, each on its own monotonic clock. The holder's limit is
 * the shorter one by the time that an order may be in flight.
 */

/** The lengths that holder and taker agree on, in milliseconds. */
export interface LeaseTerms {
  renewEveryMs: number;
  holderMs: number;
  takerMs: number;
}

/** A row as a taker has watched it. */
export interface Observation {
  revision: number;
  /** When this revision was first seen, on the taker's clock. */
  firstSeenAt: number;
}

/**
 * How long the holder may rely on its lease.
 *
 * @param renewalSentAt when the last successful renewal was sent, on the holder's clock
 * @param terms the lengths in force
 */
export function resolveValidUntil(renewalSentAt: number, terms: LeaseTerms): number {
  return renewalSentAt + terms.holderMs;
}

/**
 * Takes a fresh read of the row into account.
 *
 * @param known what was observed before, if anything
 * @param revision the revision that was read
 * @param readSentAt when the read was answered, on the taker's clock
 */
export function observeRevision(
  known: Observation | undefined,
  revision: number,
  readSentAt: number,
): Observation {
  if (known?.revision === revision) return known;
  return { revision, firstSeenAt: readSentAt };
}

/**
 * Whether the holder of a row must have stopped relying on its lease.
 *
 * @param observation what the taker has seen
 * @param now the taker's clock
 * @param terms the lengths in force
 */
export function isLapsed(observation: Observation, now: number, terms: LeaseTerms): boolean {
  return now - observation.firstSeenAt >= terms.takerMs;
}
