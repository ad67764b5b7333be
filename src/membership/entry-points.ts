/**
 * Which addresses callers are told to use, and for how long. Nodes that leave are not among them.
 */
import type { NodeState } from '../links/index.js';
import type { RandomSource } from '../task/index.js';

/** An address for callers. */
export interface EntryPoint {
  address: string;
  zone: string;
}

/** What a caller is told. */
export interface EntryPoints {
  /** The first is the one to use; the others are for when it does not answer. */
  entryPoints: EntryPoint[];
  /** How long the answer may be kept, in milliseconds. */
  keepForMs: number;
}

/**
 * Orders the live nodes for one caller: those in the caller's availability zone first, and among
 * equals at random, so that callers spread.
 *
 * @param alive nodes that take new work
 * @param zone the caller's availability zone, where it is known
 * @param keepForMs how long the answer may be kept
 * @param random the source of the order among equals
 */
export function resolveEntryPoints(
  alive: readonly NodeState[],
  zone: string | undefined,
  keepForMs: number,
  random: RandomSource,
): EntryPoints {
  const ranked = [];
  for (const node of alive) {
    const distance = node.zone === zone ? 0 : 1;
    ranked.push({ node, rank: distance + random.next() / 2 });
  }
  ranked.sort((left, right) => left.rank - right.rank);
  const entryPoints: EntryPoint[] = [];
  for (const { node } of ranked) {
    entryPoints.push({ address: node.caller, zone: node.zone });
  }
  return { entryPoints, keepForMs };
}
