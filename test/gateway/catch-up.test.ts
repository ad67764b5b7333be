import { expect } from 'chai';
import { createCatchUp } from '../../src/gateway/catch-up.js';
import { createPeering, type Peering, type PeeringParts } from '../../src/gateway/peering.js';
import type { RoutingDocument } from '../../src/routing/index.js';
import { createPeerNetwork, nameOf, type PeerNode } from '../fixtures/peer-network.js';
import { createKeptLog } from '../fixtures/gateway.js';

const own = { routes: 1, fleet: 5 };
const theirs = { routes: 2, fleet: 5 };

describe('catch-up requests to peers', () => {
  it('go to the first peer that is ahead, for a gateway that relies on peers', () => {
    const catchUp = createCatchUp();
    expect(catchUp.chooseParts({ now: 0, theirs: own, own, reliesOnPeers: true })).to.deep.equal(
      [],
    );
    expect(catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: true })).to.deep.equal([
      'routes',
    ]);
    expect(catchUp.chooseParts({ now: 1, theirs, own, reliesOnPeers: true })).to.deep.equal([]);
  });

  it('go to another peer if the first does not answer', () => {
    const catchUp = createCatchUp();
    catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: true });
    expect(catchUp.chooseParts({ now: 800, theirs, own, reliesOnPeers: true })).to.deep.equal([]);
    expect(catchUp.chooseParts({ now: 1_000, theirs, own, reliesOnPeers: true })).to.deep.equal([
      'routes',
    ]);
  });

  it('are sent at once for a version newer than the one received', () => {
    const catchUp = createCatchUp();
    catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: true });
    const caughtUp = { ...own, routes: 2 };
    const newer = { ...theirs, routes: 3 };
    const next = catchUp.chooseParts({ now: 5, theirs: newer, own: caughtUp, reliesOnPeers: true });
    expect(next).to.deep.equal(['routes']);
  });

  it('wait for the own read first, for a gateway that follows the store', () => {
    const catchUp = createCatchUp();
    expect(catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: false })).to.deep.equal([]);
    expect(catchUp.chooseParts({ now: 700, theirs, own, reliesOnPeers: false })).to.deep.equal([
      'routes',
    ]);
  });
});

interface RoutedNode {
  node: PeerNode;
  peering: Peering;
  document: RoutingDocument;
}

function createDocument(version: number): RoutingDocument {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { table: { version, routes: [], services: new Map(), limits }, text: String(version) };
}

/** Adds routes to a gateway of the network, which relies on peers for them. */
function addRoutes(network: ReturnType<typeof createPeerNetwork>, node: PeerNode): RoutedNode {
  const routed = { node, document: createDocument(1) } as RoutedNode;
  const routes = {
    version: () => routed.document.table.version,
    document: () => routed.document,
    offer(document: RoutingDocument) {
      routed.document = document;
      node.versions = { ...node.versions, routes: document.table.version };
    },
  };
  routed.peering = createPeering({
    clock: network.clock,
    log: createKeptLog(),
    overlay: () => node.overlay,
    routes,
    fleet: { revision: () => 1 },
    followers: { isLargeFleet: () => true, mayRelyOnPeers: () => true },
    parseRoutes: (text: string) => createDocument(Number(text)),
  } as unknown as PeeringParts);
  node.handle = routed.peering.received;
  node.versionsReceived = routed.peering.versionsReceived;
  return routed;
}

describe('routes in a fleet of 300 gateways', function () {
  this.timeout(30_000);

  function start() {
    const network = createPeerNetwork();
    const names = Array.from({ length: 300 }, (_, index) => nameOf(index));
    const all = names.map((name) => addRoutes(network, network.start(name, names)));
    network.advance(8_000);
    for (const { node } of all) node.received.splice(0);
    return { network, all };
  }

  function change({ document, node, peering }: RoutedNode, version: number): void {
    node.versions = { ...node.versions, routes: version };
    Object.assign(document, createDocument(version));
    peering.announce();
  }

  function countCopies(all: readonly RoutedNode[]): number {
    const received = all.flatMap(({ node }) => node.received);
    return received.filter(({ message }) => message.kind === 'routes').length;
  }

  it('reach all gateways within 200 ms, each once', () => {
    const { network, all } = start();
    const [first] = all;
    if (first === undefined) throw new Error('no gateway');
    change(first, 2);
    network.advance(200);
    expect(new Set(all.map(({ document }) => document.table.version))).to.deep.equal(new Set([2]));
    expect(countCopies(all)).to.equal(299);
  });

  it('reach all gateways within the time for a change after a network partition', () => {
    const { network, all } = start();
    const [first] = all;
    if (first === undefined) throw new Error('no gateway');
    const isCut = (name: string) => Number(name.slice(-3)) >= 200;
    network.control.passes = (from, to) => isCut(from) === isCut(to);
    change(first, 2);
    network.advance(3_000);
    network.control.passes = () => true;
    network.advance(2_000);
    expect(new Set(all.map(({ document }) => document.table.version))).to.deep.equal(new Set([2]));
  });
});
