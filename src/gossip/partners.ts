/**
 * The nodes that this node exchanges heartbeats with, and when each was last heard. Two nodes are
 * partners while either of them chooses the other; a node that no longer wants this says so in one
 * last heartbeat, and is not taken for silent afterwards.
 */

/** The partners of a node. */
export interface Partners {
  /**
   * Sets whom this node chooses.
   *
   * @returns those that were no partners before
   */
  choose(nodes: ReadonlySet<string>, now: number): string[];
  /**
   * Takes note of a heartbeat.
   *
   * @returns whether the sender became a partner by it
   */
  recordHeartbeatReceived(node: string, choosesUs: boolean, now: number): boolean;
  /** Takes note that a heartbeat was sent, and lets go of those that neither side chooses. */
  recordHeartbeatSent(node: string): void;
  has(node: string): boolean;
  isChosen(node: string): boolean;
  names(): string[];
  /** Partners not heard of for longer than the limit. */
  silent(now: number, limitMs: number): string[];
  /** Starts to count anew for each, after this process itself was paused. */
  resetSilence(now: number): void;
  remove(node: string): void;
}

interface Partner {
  heardAt: number;
  chosen: boolean;
  /** What the last heartbeat to it said about `chosen`. */
  toldChosen: boolean;
  choosesUs: boolean;
}

/** Creates an empty set of partners. */
export function createPartners(): Partners {
  const partners = new Map<string, Partner>();

  return {
    choose(nodes, now) {
      for (const [node, partner] of partners) {
        partner.chosen = nodes.has(node);
      }
      const added: string[] = [];
      for (const node of nodes) {
        if (partners.has(node)) continue;
        partners.set(node, { heardAt: now, chosen: true, toldChosen: false, choosesUs: false });
        added.push(node);
      }
      return added;
    },
    recordHeartbeatReceived(node, choosesUs, now) {
      const known = partners.get(node);
      if (known !== undefined) {
        known.heardAt = now;
        known.choosesUs = choosesUs;
        return false;
      }
      if (!choosesUs) return false;
      partners.set(node, { heardAt: now, chosen: false, toldChosen: false, choosesUs });
      return true;
    },
    recordHeartbeatSent(node) {
      const partner = partners.get(node);
      if (partner === undefined) return;
      partner.toldChosen = partner.chosen;
      if (!partner.chosen && !partner.choosesUs) partners.delete(node);
    },
    has: (node) => partners.has(node),
    isChosen: (node) => partners.get(node)?.chosen ?? false,
    names: () => [...partners.keys()],
    silent(now, limitMs) {
      const silent: string[] = [];
      for (const [node, { heardAt }] of partners) {
        if (now - heardAt > limitMs) silent.push(node);
      }
      return silent;
    },
    resetSilence(now) {
      for (const partner of partners.values()) {
        partner.heardAt = now;
      }
    },
    remove: (node) => {
      partners.delete(node);
    },
  };
}
