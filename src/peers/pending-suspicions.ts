/**
 * Suspicions reported by peers. They take effect after a delay in which a wrongly suspected gateway can
 * refute them, since considering a scheduler lost moves everything that was submitted to it.
 */
import type { GatewaySuspicion } from './messages.js';

/** Time in which a suspicion can be refuted, in ms; an update reaches several hundred gateways in tens of
 * ms. */
const REFUTATION_TIMEOUT_MS = 300;

/** Suspicions that can still be refuted. */
export interface PendingSuspicions {
  /** Adds a suspicion; false when it or a newer one is already pending. */
  add(suspicion: GatewaySuspicion, now: number): boolean;
  /** Drops the suspicion of a gateway, which has sent a newer state. */
  refuted(node: string): void;
  /** Removes and returns the suspicions that were not refuted in time. */
  takeExpired(now: number): GatewaySuspicion[];
}

/** Creates an empty set of suspicions. */
export function createPendingSuspicions(): PendingSuspicions {
  const pending = new Map<string, { suspicion: GatewaySuspicion; since: number }>();

  return {
    add(suspicion, now) {
      const previous = pending.get(suspicion.node)?.suspicion;
      const isKnown =
        previous?.incarnation === suspicion.incarnation && previous.sequence >= suspicion.sequence;
      if (isKnown) return false;
      pending.set(suspicion.node, { suspicion, since: now });
      return true;
    },
    refuted(node) {
      pending.delete(node);
    },
    takeExpired(now) {
      const expired: GatewaySuspicion[] = [];
      for (const [node, { suspicion, since }] of pending) {
        if (now - since < REFUTATION_TIMEOUT_MS) continue;
        pending.delete(node);
        expired.push(suspicion);
      }
      return expired;
    },
  };
}
