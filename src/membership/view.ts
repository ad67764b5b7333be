/**
 * What a node believes of the other nodes: a pure table of their states, the newest of each. A node
 * counts as alive until somebody who was to hear from it says that it is silent, and again as soon
 * as a newer word of its own arrives; so the cost of knowing all nodes goes by what changes, not by
 * how many nodes there are. This is the failure detection of "SWIM" with its refutation.
 * Times are on the node's own monotonic clock.
 */
import type { Heartbeat, NodeState, Suspicion } from '../links/index.js';

/** Former incarnations that are remembered, so that none of them returns. */
const MAX_RETIRED = 4_096;

/** One node as this node knows it. */
export interface Member {
  state: NodeState;
  /** When it was suspected; `undefined` while it counts as alive. */
  suspectedAt: number | undefined;
}

/** The nodes that one node knows. */
export interface View {
  /**
   * Takes in a state if it is newer than the known one.
   *
   * @param isOwnWord whether the node itself said so; then it stands against any hearsay
   * @returns whether others are to hear of it: anything changed but sequence, load and configuration
   */
  learn(state: NodeState, isOwnWord?: boolean): boolean;
  /**
   * Takes in a heartbeat of a node.
   *
   * @returns whether the node was suspected until now
   */
  beat(node: string, heartbeat: Heartbeat): boolean;
  /** Takes note of the configuration in force on a node; tells whether that is news. */
  reach(node: string, version: number): boolean;
  /** Takes in that a node is silent; tells whether that is news. */
  suspect(suspicion: Suspicion, now: number): boolean;
  /** Forgets nodes that were suspected for longer than `silentMs`. */
  forget(now: number, silentMs: number): void;
  find(node: string): Member | undefined;
  isAlive(node: string): boolean;
  members(): Member[];
  /** Nodes that are neither suspected nor leaving, ordered by name; the same array until it changes. */
  alive(): readonly NodeState[];
}

/** Creates an empty view. */
export function createView(): View {
  const byNode = new Map<string, Member>();
  const retired = new Set<string>();
  let alive: readonly NodeState[] | undefined;

  function isNewer(state: NodeState, known: Member | undefined, isOwnWord: boolean): boolean {
    // Hearsay may be older than what it replaces; a node's own word settles which one runs.
    if (retired.has(state.incarnation) && !isOwnWord) return false;
    if (known === undefined) return true;
    if (known.state.incarnation !== state.incarnation) return true;
    return state.sequence > known.state.sequence;
  }

  function retire(incarnation: string): void {
    retired.add(incarnation);
    for (const oldest of retired) {
      if (retired.size <= MAX_RETIRED) break;
      retired.delete(oldest);
    }
  }

  function listAlive(): NodeState[] {
    const found: NodeState[] = [];
    for (const { state, suspectedAt } of byNode.values()) {
      if (suspectedAt === undefined && !state.leaving) found.push(state);
    }
    found.sort((left, right) => left.node.localeCompare(right.node));
    return found;
  }

  return {
    learn(state, isOwnWord = false) {
      const known = byNode.get(state.node);
      if (!isNewer(state, known, isOwnWord)) return false;
      retired.delete(state.incarnation);
      if (known !== undefined && known.state.incarnation !== state.incarnation) {
        retire(known.state.incarnation);
      }
      const version = Math.max(state.configurationVersion, reachedBefore(known, state));
      byNode.set(state.node, {
        state: { ...state, configurationVersion: version },
        suspectedAt: undefined,
      });
      alive = undefined;
      return known === undefined || known.suspectedAt !== undefined || differs(known.state, state);
    },
    beat(node, heartbeat) {
      const known = byNode.get(node);
      if (known?.state.incarnation !== heartbeat.incarnation) return false;
      const { state } = known;
      if (heartbeat.sequence <= state.sequence) return false;
      state.sequence = heartbeat.sequence;
      state.inFlight = heartbeat.inFlight;
      if (known.suspectedAt === undefined) return false;
      known.suspectedAt = undefined;
      alive = undefined;
      return true;
    },
    reach(node, version) {
      const known = byNode.get(node);
      if (known === undefined || version <= known.state.configurationVersion) return false;
      known.state.configurationVersion = version;
      return true;
    },
    suspect({ node, incarnation, sequence }, now) {
      const known = byNode.get(node);
      if (known === undefined || known.suspectedAt !== undefined) return false;
      if (known.state.incarnation !== incarnation || known.state.sequence > sequence) return false;
      known.suspectedAt = now;
      known.state.sequence = sequence;
      alive = undefined;
      return true;
    },
    forget(now, silentMs) {
      for (const [node, { suspectedAt }] of byNode) {
        if (suspectedAt !== undefined && now - suspectedAt > silentMs) byNode.delete(node);
      }
    },
    find: (node) => byNode.get(node),
    isAlive(node) {
      const known = byNode.get(node);
      return known !== undefined && known.suspectedAt === undefined;
    },
    members: () => [...byNode.values()],
    alive: () => (alive ??= listAlive()),
  };
}

function reachedBefore(known: Member | undefined, state: NodeState): number {
  if (known?.state.incarnation !== state.incarnation) return 0;
  return known.state.configurationVersion;
}

function differs(left: NodeState, right: NodeState): boolean {
  return (
    left.incarnation !== right.incarnation ||
    left.leaving !== right.leaving ||
    left.caller !== right.caller ||
    left.operator !== right.operator ||
    left.peer !== right.peer
  );
}
