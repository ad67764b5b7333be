import { expect } from 'chai';
import { createPeerNetwork, nameOf, type PeerNode } from '../fixtures/peer-network.js';

/** Time within which a change must be in force on the fleets with the shortest bound, in ms. */
const CHANGE_MS = 3_000;

type Network = ReturnType<typeof createPeerNetwork>;

function startAll(network: Network, count: number): PeerNode[] {
  const names = Array.from({ length: count }, (_, index) => nameOf(index));
  return names.map((name) => network.start(name, names));
}

function listLive(nodes: readonly PeerNode[]): PeerNode[] {
  return nodes.filter(({ condition }) => condition === 'up');
}

/** Whether the peers of every live gateway are exactly the other live ones. */
function haveConverged(nodes: readonly PeerNode[]): boolean {
  const alive = listLive(nodes);
  const names = new Set(alive.map(({ name }) => name));
  return alive.every(({ name, overlay }) => {
    const peers = overlay.peers();
    return (
      peers.length === names.size - 1 &&
      peers.every((peer) => names.has(peer.node) && peer.node !== name)
    );
  });
}

/** Advances the clock until all agree; returns the elapsed time in ms, or infinity at the limit. */
function timeUntilConverged(network: Network, limitMs: number): number {
  for (let elapsedMs = 0; elapsedMs < limitMs; elapsedMs += 20) {
    if (haveConverged(network.nodes)) return elapsedMs;
    network.advance(20);
  }
  return Number.POSITIVE_INFINITY;
}

function restart(network: Network, node: PeerNode): PeerNode {
  network.nodes.splice(network.nodes.indexOf(node), 1);
  const known = network.nodes.map(({ name }) => name);
  return network.start(node.name, known);
}

describe('an overlay of several hundred gateways', function () {
  this.timeout(60_000);

  it('converges soon after all gateways start at once', () => {
    const network = createPeerNetwork();
    startAll(network, 300);
    expect(timeUntilConverged(network, 5_000)).to.be.below(4_000);
  });

  it('costs each gateway about as much as in a fleet of 30', () => {
    const costs = [30, 300].map((count) => {
      const network = createPeerNetwork();
      startAll(network, count);
      network.advance(20_000);
      const before = network.nodes.map(({ sent, sentBytes }) => ({ sent, sentBytes }));
      network.advance(10_000);
      let [sent, bytes, links] = [0, 0, 0];
      for (const [index, node] of network.nodes.entries()) {
        sent += node.sent - (before[index]?.sent ?? 0);
        bytes += node.sentBytes - (before[index]?.sentBytes ?? 0);
        links = Math.max(links, node.linkCount());
      }
      return { sent: sent / count, bytes: bytes / count, links };
    });
    const [small, large] = costs;
    if (small === undefined || large === undefined) throw new Error('two sizes are compared');
    expect(large.sent).to.be.below(small.sent * 1.25);
    expect(large.bytes).to.be.below(small.bytes * 1.25);
    expect(large.links).to.be.below(32);
  });

  it('detects lost gateways within the time for a change, whatever their number and the fleet size', () => {
    for (const [count, lost] of [
      [30, 4],
      [300, 4],
      [300, 150],
    ] as const) {
      const network = createPeerNetwork();
      const nodes = startAll(network, count);
      network.advance(8_000);
      for (const node of nodes.slice(0, lost)) network.kill(node, 'powerless');
      expect(timeUntilConverged(network, 10_000), `${lost} of ${count}`).to.be.below(CHANGE_MS);
    }
  });

  it('detects killed processes within a second', () => {
    const network = createPeerNetwork();
    const nodes = startAll(network, 300);
    network.advance(8_000);
    for (const node of nodes.slice(0, 150)) network.kill(node, 'killed');
    expect(timeUntilConverged(network, 10_000)).to.be.below(1_000);
  });

  it('recovers after all gateways lost power at once', () => {
    const network = createPeerNetwork();
    const nodes = startAll(network, 200);
    network.advance(8_000);
    for (const node of nodes) network.kill(node, 'powerless');
    network.advance(700);
    for (const node of nodes) restart(network, node);
    expect(timeUntilConverged(network, 10_000)).to.be.below(5_000);
  });

  it('merges again after a network partition', () => {
    const network = createPeerNetwork();
    startAll(network, 200);
    network.advance(8_000);
    const isCut = (name: string) => Number(name.slice(-3)) < 40;
    network.control.passes = (from, to) => isCut(from) === isCut(to);
    network.advance(6_000);
    network.control.passes = () => true;
    expect(timeUntilConverged(network, 10_000)).to.be.below(4_000);
  });

  it('loses no peer when an isolated gateway returns', () => {
    const network = createPeerNetwork();
    const [alone, ...others] = startAll(network, 100);
    network.advance(8_000);
    if (alone === undefined) throw new Error('no gateway');
    network.control.passes = (from, to) => from !== alone.name && to !== alone.name;
    network.advance(6_000);
    expect(alone.overlay.peers()).to.have.length(0);
    expect(alone.overlay.isConnected()).to.equal(false);
    network.control.passes = () => true;
    for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 20) {
      network.advance(20);
      for (const { overlay } of others) {
        const believed = overlay.peers().filter(({ node }) => node !== alone.name);
        expect(believed).to.have.length(98);
      }
    }
    expect(alone.overlay.peers()).to.have.length(99);
  });

  it('counts all gateways on while one is isolated, so that it does not take the share of all', () => {
    const network = createPeerNetwork();
    const [alone] = startAll(network, 30);
    if (alone === undefined) throw new Error('no gateway');
    network.advance(8_000);
    network.control.passes = (from, to) => from !== alone.name && to !== alone.name;
    network.advance(6_000);
    expect(alone.overlay.peers()).to.have.length(0);
    expect(alone.overlay.knownGateways()).to.equal(30);
    expect(alone.overlay.fleetSize()).to.equal(30);
  });

  it('divides no more than the whole while gateways start, are cut in halves and restart', () => {
    const network = createPeerNetwork();
    const nodes = startAll(network, 100);
    let largestSum = 0;
    function advance(durationMs: number): void {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
        network.advance(100);
        const sizes = listLive(network.nodes).map(({ overlay }) => overlay.fleetSize());
        const parts = sizes.map((size) => (size === undefined ? 0 : 1 / size));
        largestSum = Math.max(
          largestSum,
          parts.reduce((sum, part) => sum + part, 0),
        );
      }
    }
    advance(8_000);
    const isFirstHalf = (name: string) => nodes.findIndex((node) => node.name === name) < 50;
    network.control.passes = (from, to) => isFirstHalf(from) === isFirstHalf(to);
    advance(10_000);
    network.control.passes = () => true;
    advance(6_000);
    for (const node of nodes.slice(0, 40)) restart(network, node);
    advance(8_000);
    expect(largestSum).to.be.within(0.9, 1.000_001);
  });

  it('counts addresses without an answer in the size of the fleet alone', () => {
    const network = createPeerNetwork();
    const { overlay } = network.start(nameOf(0), [nameOf(0), nameOf(1), nameOf(2)]);
    network.advance(8_000);
    expect(overlay.knownGateways()).to.equal(1);
    expect(overlay.fleetSize()).to.equal(3);
  });

  it('counts a lost gateway in the size of the fleet for a while', () => {
    const network = createPeerNetwork();
    const [gone, other] = startAll(network, 30);
    if (gone === undefined || other === undefined) throw new Error('no gateway');
    network.advance(8_000);
    network.kill(gone, 'killed');
    network.advance(8_000);
    expect(other.overlay.peers()).to.have.length(28);
    expect(other.overlay.fleetSize()).to.equal(30);
  });

  it('lists all peers as soon as an isolated gateway receives a message again', () => {
    for (const seed of [1, 2, 3, 4]) {
      const network = createPeerNetwork(seed);
      const [alone] = startAll(network, 100);
      if (alone === undefined) throw new Error('no gateway');
      network.advance(8_000);
      network.control.passes = (from, to) => from !== alone.name && to !== alone.name;
      network.advance(6_000 + 100 * seed);
      expect(alone.overlay.peers(), `seed ${seed}`).to.have.length(0);
      network.control.passes = () => true;
      while (alone.overlay.peers().length === 0) network.advance(5);
      expect(alone.overlay.peers(), `seed ${seed}`).to.have.length(99);
    }
  });

  it('replaces silent connections without losing a peer', () => {
    const network = createPeerNetwork();
    const nodes = startAll(network, 60);
    network.advance(8_000);
    const known = new Map(nodes.map((node) => [node, node.overlay.peers().length]));
    let silenced = 0;
    for (const node of nodes.slice(0, 20)) {
      const [peer] = network.partnersOf(node);
      if (peer !== undefined && network.silence(node.name, peer)) silenced += 1;
    }
    expect(silenced).to.equal(20);
    for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 50) {
      network.advance(50);
      for (const node of nodes) expect(node.overlay.peers()).to.have.length(known.get(node) ?? 0);
    }
  });

  it('dials dead addresses at a bounded rate and for a bounded time', () => {
    const network = createPeerNetwork();
    const nodes = startAll(network, 200);
    network.advance(8_000);
    for (const node of nodes.slice(0, 60)) network.kill(node, 'powerless');
    network.advance(6_000);
    const dialsIn = (spanMs: number) => {
      const before = listLive(nodes).reduce((sum, { dials }) => sum + dials, 0);
      network.advance(spanMs);
      return listLive(nodes).reduce((sum, { dials }) => sum + dials, 0) - before;
    };
    // 60 addresses, three dials of each in ten heartbeat intervals
    expect(dialsIn(4_000)).to.be.below(60 * 3 * 10 * 1.3);
    network.advance(70_000);
    expect(dialsIn(4_000)).to.equal(0);
  });

  it('broadcasts that a gateway is no longer ready', () => {
    const network = createPeerNetwork();
    const [leaving, ...others] = startAll(network, 200);
    network.advance(8_000);
    if (leaving === undefined) throw new Error('no gateway');
    leaving.status = { isReady: false, isFollowing: false };
    leaving.overlay.publish();
    network.advance(400);
    const seen = others.map(({ overlay }) => {
      const peers = overlay.peers();
      return peers.find(({ node }) => node === leaving.name)?.isReady;
    });
    expect(new Set(seen)).to.deep.equal(new Set([false]));
  });

  it('sends to a gateway that is not a partner, and reports one that cannot be reached', () => {
    const network = createPeerNetwork();
    const [first, ...others] = startAll(network, 100);
    network.advance(8_000);
    const linked = new Set(first === undefined ? [] : network.partnersOf(first));
    const [far, lost] = others.filter(({ name }) => !linked.has(name));
    if (first === undefined || far === undefined || lost === undefined) throw new Error('too few');
    expect(first.overlay.send(far.name, { kind: 'job.read', id: 'x' })).to.equal(true);
    network.advance(10);
    expect(far.received.map(({ message }) => message.kind)).to.include('job.read');
    network.kill(lost, 'killed');
    first.overlay.send(lost.name, { kind: 'job.read', id: 'x' });
    network.advance(100);
    expect(first.lost).to.include(lost.name);
    expect(first.overlay.send('nobody', { kind: 'job.read', id: 'x' })).to.equal(false);
  });
});
