/**
 * What one process believes of the others of its kind: a pure table of their states, the newest of
 * each. A member counts as alive until somebody who was to hear from it says that it is silent, and
 * again as soon as a newer state of its own arrives; so the cost of knowing all of them goes by what
 * changes, not by how many there are. This is the failure detection of "SWIM" with its refutation.
 * Times are on the process's own monotonic clock.
 */

/** Former incarnations that are remembered, so that none of them returns. */
const MAX_RETIRED = 4_096;

/** What every state has. */
export interface MemberState {
  node: string;
  /** Differs for each start of the process. */
  incarnation: string;
  /** Grows with each state that the member tells of itself. */
  sequence: number;
}

/** Says that a member is silent since it was heard with this sequence; a greater one refutes it. */
export type MemberSuspicion = MemberState;

/** One member as it is known. */
export interface Member<State extends MemberState> {
  state: State;
  /** When it was suspected; `undefined` while it counts as alive. */
  suspectedAt: number | undefined;
}

/** The members that one process knows. */
export interface Members<State extends MemberState> {
  /**
   * Takes in a state if it is newer than the known one.
   *
   * @param isOwnWord whether the member itself said so; then it counts more than what others tell
   * @returns whether it was newer
   */
  merge: (state: State, isOwnWord?: boolean) => boolean;
  /**
   * Takes in a newer sequence of the incarnation that is known.
   *
   * @returns whether the member was suspected until now
   */
  refresh: (node: string, sequence: number) => boolean;
  /** Takes in that a member is silent; tells whether that is news. */
  suspect: (suspicion: MemberSuspicion, now: number) => boolean;
  /** Forgets members that were suspected for longer than `silentMs`. */
  forget: (now: number, silentMs: number) => void;
  find: (node: string) => Member<State> | undefined;
  isAlive: (node: string) => boolean;
  /** States of those that are suspected; the same array until it changes. */
  suspected: () => readonly State[];
  all: () => Member<State>[];
  /** Listed members that are not suspected, ordered by name; the same array until it changes. */
  alive: () => readonly State[];
}

/**
 * Creates an empty table.
 *
 * @param isListed whether a member in this state is to be among those alive
 */
export function createMembers<State extends MemberState>(
  isListed: (state: State) => boolean = () => true,
): Members<State> {
  const byNode = new Map<string, Member<State>>();
  const retired = new Set<string>();
  let alive: readonly State[] | undefined;
  let suspected: readonly State[] | undefined;

  function isNewer(state: State, known: Member<State> | undefined, isOwnWord: boolean): boolean {
    // What others tell may be older than what it replaces; the member itself knows which one runs.
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

  function changed(): void {
    alive = undefined;
    suspected = undefined;
  }

  function listSuspected(): State[] {
    const found: State[] = [];
    for (const { state, suspectedAt } of byNode.values()) {
      if (suspectedAt !== undefined) found.push(state);
    }
    return found;
  }

  function listAlive(): State[] {
    const found: State[] = [];
    for (const { state, suspectedAt } of byNode.values()) {
      if (suspectedAt === undefined && isListed(state)) found.push(state);
    }
    return found.sort((left, right) => left.node.localeCompare(right.node));
  }

  return {
    merge(state, isOwnWord = false) {
      const known = byNode.get(state.node);
      if (!isNewer(state, known, isOwnWord)) return false;
      retired.delete(state.incarnation);
      if (known !== undefined && known.state.incarnation !== state.incarnation) {
        retire(known.state.incarnation);
      }
      byNode.set(state.node, { state, suspectedAt: undefined });
      changed();
      return true;
    },
    refresh(node, sequence) {
      const known = byNode.get(node);
      if (known === undefined || sequence <= known.state.sequence) return false;
      known.state.sequence = sequence;
      if (known.suspectedAt === undefined) return false;
      known.suspectedAt = undefined;
      changed();
      return true;
    },
    suspect({ node, incarnation, sequence }, now) {
      const known = byNode.get(node);
      if (known === undefined || known.suspectedAt !== undefined) return false;
      if (known.state.incarnation !== incarnation || known.state.sequence > sequence) return false;
      known.suspectedAt = now;
      known.state.sequence = sequence;
      changed();
      return true;
    },
    forget(now, silentMs) {
      for (const { node } of (suspected ??= listSuspected())) {
        const since = byNode.get(node)?.suspectedAt ?? now;
        if (now - since <= silentMs) continue;
        byNode.delete(node);
        suspected = undefined;
      }
    },
    find: (node) => byNode.get(node),
    isAlive(node) {
      const known = byNode.get(node);
      return known !== undefined && known.suspectedAt === undefined;
    },
    suspected: () => (suspected ??= listSuspected()),
    all: () => [...byNode.values()],
    alive: () => (alive ??= listAlive()),
  };
}
