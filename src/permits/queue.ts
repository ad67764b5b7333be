/**
 * The order in which waiting requests get their turn: by priority first; among equals the team that
 * has had the least service for its weight; within a team the earliest deadline. A team that was
 * idle starts where the least served active team stands, so idleness earns no claim on the future.
 */
import type { PermitAnswer, PermitQuery } from '../links/index.js';

/** A request that waits for a permit. */
export interface Waiting {
  query: PermitQuery;
  /** The node that asked. */
  node: string;
  /** When it came, on the holder's clock. */
  since: number;
  /** When its first token is late, on the holder's clock. */
  firstTokenBy: number;
  answer(answer: PermitAnswer): void;
}

/** The queue of one shard. */
export interface FairQueue {
  add(waiting: Waiting): void;
  remove(waiting: Waiting): void;
  find(node: string, requestId: string, attempt: number): Waiting | undefined;
  /** Everyone, in the order of their turns. */
  ordered(): Waiting[];
  size(): number;
  /** Charges a team for service, in tokens; negative to give some back. */
  charge(team: string, weight: number, tokens: number): void;
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  const waiting = new Set<Waiting>();
  const served = new Map<string, number>();
  const active = new Map<string, number>();
  let floor = 0;

  function servedBy(team: string): number {
    return served.get(team) ?? floor;
  }

  function compare(left: Waiting, right: Waiting): number {
    return (
      left.query.priority - right.query.priority ||
      servedBy(left.query.team) - servedBy(right.query.team) ||
      left.firstTokenBy - right.firstTokenBy ||
      left.since - right.since
    );
  }

  function raiseFloor(): void {
    let least = Number.POSITIVE_INFINITY;
    for (const team of active.keys()) {
      least = Math.min(least, servedBy(team));
    }
    if (Number.isFinite(least)) floor = Math.max(floor, least);
  }

  return {
    add(entry) {
      const team = entry.query.team;
      raiseFloor();
      if (!active.has(team)) served.set(team, Math.max(servedBy(team), floor));
      active.set(team, (active.get(team) ?? 0) + 1);
      waiting.add(entry);
    },
    remove(entry) {
      if (!waiting.delete(entry)) return;
      const team = entry.query.team;
      const left = (active.get(team) ?? 1) - 1;
      if (left > 0) active.set(team, left);
      else active.delete(team);
    },
    find(node, requestId, attempt) {
      for (const entry of waiting) {
        const { query } = entry;
        if (entry.node === node && query.requestId === requestId && query.attempt === attempt) {
          return entry;
        }
      }
      return undefined;
    },
    ordered: () => [...waiting].sort(compare),
    size: () => waiting.size,
    charge(team, weight, tokens) {
      served.set(team, servedBy(team) + tokens / weight);
    },
  };
}
