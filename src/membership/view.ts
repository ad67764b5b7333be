/**
 * What a node believes of the other nodes: a pure table of their states, newest first, with when
 * each was last heard of. Times are on the node's own monotonic clock.
 */
import type { NodeState } from '../links/index.js';

/** One node as this node knows it. */
export interface Member {
  state: NodeState;
  /** When the state, or a newer one, last arrived. */
  heardAt: number;
}

/** The nodes that one node knows. */
export interface View {
  /**
   * Takes in a state if it is newer than the known one.
   *
   * @returns whether anything but the sequence changed
   */
  learn(state: NodeState, now: number): boolean;
  /** Forgets nodes that were silent for longer than `silentMs`. */
  forget(now: number, silentMs: number): void;
  find(node: string): Member | undefined;
  /** All known nodes, ordered by name. */
  members(): Member[];
  /** Nodes heard of within `withinMs` and not leaving, ordered by name. */
  alive(now: number, withinMs: number): NodeState[];
}

/** Creates an empty view. */
export function createView(): View {
  const byNode = new Map<string, Member>();
  const retired = new Set<string>();

  function isNewer(state: NodeState, known: Member | undefined): boolean {
    if (retired.has(state.incarnation)) return false;
    if (known === undefined) return true;
    if (known.state.incarnation !== state.incarnation) return true;
    return state.sequence > known.state.sequence;
  }

  function members(): Member[] {
    const sorted = [...byNode.values()];
    sorted.sort((left, right) => left.state.node.localeCompare(right.state.node));
    return sorted;
  }

  return {
    learn(state, now) {
      const known = byNode.get(state.node);
      if (!isNewer(state, known)) return false;
      if (known !== undefined && known.state.incarnation !== state.incarnation) {
        retired.add(known.state.incarnation);
      }
      byNode.set(state.node, { state, heardAt: now });
      return known === undefined || differs(known.state, state);
    },
    forget(now, silentMs) {
      for (const [node, member] of byNode) {
        if (now - member.heardAt > silentMs) byNode.delete(node);
      }
    },
    find: (node) => byNode.get(node),
    members,
    alive(now, withinMs) {
      const alive: NodeState[] = [];
      for (const member of members()) {
        if (member.state.leaving || now - member.heardAt > withinMs) continue;
        alive.push(member.state);
      }
      return alive;
    },
  };
}

function differs(left: NodeState, right: NodeState): boolean {
  return (
    left.incarnation !== right.incarnation ||
    left.leaving !== right.leaving ||
    left.configurationVersion !== right.configurationVersion ||
    left.caller !== right.caller ||
    left.peer !== right.peer
  );
}
