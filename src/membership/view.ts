/**
 * What a node believes of the other nodes: their states with the configuration in force on each.
 */
import { createMembers, type Member as KnownMember } from '../gossip/index.js';
import type { Heartbeat, NodeState, Suspicion } from '../links/index.js';

/** One node as this node knows it. */
export type Member = KnownMember<NodeState>;

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
  const table = createMembers<NodeState>(({ leaving }) => !leaving);

  return {
    learn(state, isOwnWord = false) {
      const known = table.find(state.node);
      const version = Math.max(state.configurationVersion, reachedBefore(known, state));
      if (!table.merge({ ...state, configurationVersion: version }, isOwnWord)) return false;
      return known === undefined || known.suspectedAt !== undefined || differs(known.state, state);
    },
    beat(node, heartbeat) {
      const known = table.find(node);
      if (known?.state.incarnation !== heartbeat.incarnation) return false;
      if (heartbeat.sequence <= known.state.sequence) return false;
      known.state.inFlight = heartbeat.inFlight;
      return table.refresh(node, heartbeat.sequence);
    },
    reach(node, version) {
      const known = table.find(node);
      if (known === undefined || version <= known.state.configurationVersion) return false;
      known.state.configurationVersion = version;
      return true;
    },
    suspect: table.suspect,
    forget: table.forget,
    find: table.find,
    isAlive: table.isAlive,
    members: table.all,
    alive: table.alive,
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
