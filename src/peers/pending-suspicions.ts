/**
 * Suspicions that others have told. A gateway that is wrongly suspected, as by one that is itself cut
 * off, says so within a few ways through the network; until then nobody acts on the suspicion, since
 * all that was submitted to a scheduler moves when it is believed lost.
 */
import type { GatewaySuspicion } from './messages.js';

/** How long a suspected gateway has to refute, in ms: news goes round several hundred gateways in some
 * tens of ms, and a busy one takes its turn. */
const REFUTE_MS = 300;

/** Suspicions that may still be refuted. */
export interface PendingSuspicions {
  /** Remembers a suspicion; false when it is known already. */
  add(suspicion: GatewaySuspicion, now: number): boolean;
  /** A gateway has said something newer of itself. */
  refuted(node: string): void;
  /** Takes those that nobody refuted in time. */
  takeExpired(now: number): GatewaySuspicion[];
}

/** Creates an empty set of suspicions. */
export function createPendingSuspicions(): PendingSuspicions {
  const waiting = new Map<string, { suspicion: GatewaySuspicion; since: number }>();

  return {
    add(suspicion, now) {
      const known = waiting.get(suspicion.node)?.suspicion;
      const isKnown =
        known?.incarnation === suspicion.incarnation && known.sequence >= suspicion.sequence;
      if (isKnown) return false;
      waiting.set(suspicion.node, { suspicion, since: now });
      return true;
    },
    refuted(node) {
      waiting.delete(node);
    },
    takeExpired(now) {
      const due: GatewaySuspicion[] = [];
      for (const [node, { suspicion, since }] of waiting) {
        if (now - since < REFUTE_MS) continue;
        waiting.delete(node);
        due.push(suspicion);
      }
      return due;
    },
  };
}
