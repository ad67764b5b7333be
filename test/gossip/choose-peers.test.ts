import { expect } from 'chai';
import { choosePeers } from '../../src/gossip/index.js';

const MAX_PEERS = 16;

function createNames(count: number): { node: string }[] {
  const names = [];
  for (let index = 0; index < count; index++) names.push({ node: `entry-${index}` });
  return names;
}

/** Links go both ways, whoever chose them. */
function resolveGraph(nodes: readonly { node: string }[]): Map<string, Set<string>> {
  const graph = new Map<string, Set<string>>();
  for (const { node } of nodes) graph.set(node, new Set());
  for (const { node } of nodes) {
    for (const peer of choosePeers(node, nodes, MAX_PEERS)) {
      graph.get(node)?.add(peer.node);
      graph.get(peer.node)?.add(node);
    }
  }
  return graph;
}

/** Hops from one node to the farthest; undefined when some cannot be reached. */
function resolveEccentricity(graph: Map<string, Set<string>>, from: string): number | undefined {
  const seen = new Set([from]);
  let frontier = [from];
  let hops = 0;
  while (frontier.length > 0) {
    const next: string[] = [];
    for (const node of frontier) {
      for (const peer of graph.get(node) ?? []) {
        if (!graph.has(peer) || seen.has(peer)) continue;
        seen.add(peer);
        next.push(peer);
      }
    }
    if (next.length > 0) hops += 1;
    frontier = next;
  }
  return seen.size === graph.size ? hops : undefined;
}

function removeSome(graph: Map<string, Set<string>>, isGone: (index: number) => boolean) {
  const left = new Map<string, Set<string>>();
  for (const [index, [node, peers]] of [...graph].entries()) {
    if (!isGone(index)) left.set(node, peers);
  }
  return left;
}

describe('the choice of partners', () => {
  for (const [count, maxHops] of [
    [9, 1],
    [50, 4],
    [410, 6],
  ] as const) {
    it(`reaches all of ${count} nodes in ${maxHops} hops at most`, () => {
      const graph = resolveGraph(createNames(count));
      for (const node of graph.keys()) {
        expect(resolveEccentricity(graph, node)).to.be.at.most(maxHops);
      }
    });
  }

  it('gives each of 410 nodes a bounded number of partners', () => {
    const graph = resolveGraph(createNames(410));
    for (const peers of graph.values()) expect(peers.size).to.be.at.most(40);
  });

  it('stays connected without any one of nine zones, before anybody chooses anew', () => {
    const graph = resolveGraph(createNames(410));
    for (let zone = 0; zone < 9; zone++) {
      const spread = removeSome(graph, (index) => index % 9 === zone);
      const block = removeSome(graph, (index) => Math.floor(index / 46) === zone);
      for (const left of [spread, block]) {
        const [first = ''] = left.keys();
        expect(resolveEccentricity(left, first)).to.be.at.most(8);
      }
    }
  });

  it('changes few choices when a node joins', () => {
    const nodes = createNames(410);
    let changed = 0;
    for (const { node } of nodes.slice(0, 409)) {
      const before = choosePeers(node, nodes.slice(0, 409), MAX_PEERS);
      const after = choosePeers(node, nodes, MAX_PEERS);
      if (after.some((peer) => !before.includes(peer))) changed += 1;
    }
    expect(changed).to.be.at.most(2 * MAX_PEERS);
  });
});
