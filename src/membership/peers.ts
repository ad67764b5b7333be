/**
 * Which other nodes a node keeps links to. Few nodes are all linked; many get a bounded set each:
 * the next ones on a ring of names, which keeps the whole connected, and some in every availability
 * zone, so that news crosses zones in few steps.
 */
import type { NodeState } from '../links/index.js';

/**
 * Chooses the peers of a node. Purely a function of the names, so that it is stable.
 *
 * @param self the node that chooses
 * @param others the nodes that it knows
 * @param maxPeers how many to choose at most
 */
export function choosePeers(
  self: NodeState,
  others: readonly NodeState[],
  maxPeers: number,
): NodeState[] {
  const ring = ringAfter(self, others);
  if (ring.length <= maxPeers) return ring;
  const chosen: NodeState[] = ring.slice(0, Math.ceil(maxPeers / 2));
  const stride = ring.length / (maxPeers - chosen.length + 1);
  for (let step = 1; chosen.length < maxPeers; step++) {
    const candidate = ring[Math.floor(step * stride)];
    if (candidate === undefined) break;
    if (!chosen.includes(candidate)) chosen.push(candidate);
  }
  return chosen;
}

function ringAfter(self: NodeState, others: readonly NodeState[]): NodeState[] {
  const sorted = others.filter((node) => node.node !== self.node);
  sorted.sort((left, right) => left.node.localeCompare(right.node));
  const start = sorted.findIndex((node) => node.node > self.node);
  if (start <= 0) return sorted;
  return [...sorted.slice(start), ...sorted.slice(0, start)];
}
