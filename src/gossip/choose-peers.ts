/**
 * Which other nodes a node exchanges heartbeats with: its partners. Few nodes are all partners;
 * many get a bounded set each, by a ring on which nodes are placed by a hash of their name: the
 * next ones, which keep the whole connected, and some at a half, a quarter, an eighth of the way
 * round, which make the paths short. Availability zones are mixed by the hash, so that the loss of
 * one leaves the rest connected. A node that comes or goes changes only its neighbours' choices.
 */
import { hashName } from './hash-name.js';

const RING = 2 ** 32;
const HALF = 0.5;

/** Anything with the name of a node. */
export interface Named {
  node: string;
}

/**
 * Chooses the partners of a node. Purely a function of the names, so that it is stable. Because
 * others choose this node too, only half of `maxPeers` are chosen when there are more nodes.
 *
 * @param self name of the node that chooses
 * @param others the nodes that it believes alive
 * @param maxPeers how many partners a node is to have
 */
export function choosePeers<Known extends Named>(
  self: string,
  others: readonly Known[],
  maxPeers: number,
): Known[] {
  const ring = resolveRing(self, others);
  if (ring.length <= maxPeers) return ring.map(({ known }) => known);
  const wanted = Math.ceil(maxPeers / 2);
  const chosen = new Set<Known>();
  for (const { known } of ring.slice(0, Math.ceil(wanted / 2))) {
    chosen.add(known);
  }
  for (let share = HALF; chosen.size < wanted && share * ring.length >= HALF; share /= 2) {
    const finger = ring.find(({ distance }) => distance >= share * RING);
    if (finger !== undefined) chosen.add(finger.known);
  }
  for (const { known } of ring) {
    if (chosen.size >= wanted) break;
    chosen.add(known);
  }
  return [...chosen];
}

interface Placed<Known> {
  known: Known;
  /** How far round the ring from the node that chooses. */
  distance: number;
}

function resolveRing<Known extends Named>(self: string, others: readonly Known[]): Placed<Known>[] {
  const start = hashName(self);
  const ring: Placed<Known>[] = [];
  for (const known of others) {
    if (known.node === self) continue;
    ring.push({ known, distance: (hashName(known.node) - start) >>> 0 });
  }
  ring.sort(
    (left, right) =>
      left.distance - right.distance || left.known.node.localeCompare(right.known.node),
  );
  return ring;
}
