import { expect } from 'chai';
import { createCatchUp } from '../../src/gateway/catch-up.js';
import { createPeering, type Peering, type PeeringParts } from '../../src/gateway/peering.js';
import type { RoutingDocument } from '../../src/routing/index.js';
import { createPeerNetwork, nameOf, type PeerNode } from '../fixtures/peer-network.js';
import { createKeptLog } from '../fixtures/gateway.js';

const own = { routes: 1, fleet: 5 };
const theirs = { routes: 2, fleet: 5 };

describe('what a gateway asks its peers for', () => {
  it('is what the first knows that is ahead, where it relies on others', () => {
    const catchUp = createCatchUp();
    expect(catchUp.chooseParts({ now: 0, theirs: own, own, reliesOnPeers: true })).to.deep.equal(
      [],
    );
    expect(catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: true })).to.deep.equal([
      'routes',
    ]);
    expect(catchUp.chooseParts({ now: 1, theirs, own, reliesOnPeers: true })).to.deep.equal([]);
  });

  it('is asked of another where the first does not answer', () => {
    const catchUp = createCatchUp();
    catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: true });
    expect(catchUp.chooseParts({ now: 800, theirs, own, reliesOnPeers: true })).to.deep.equal([]);
    expect(catchUp.chooseParts({ now: 1_000, theirs, own, reliesOnPeers: true })).to.deep.equal([
      'routes',
    ]);
  });

  it('is asked for at once again where there is something newer still', () => {
    const catchUp = createCatchUp();
    catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: true });
    const caughtUp = { ...own, routes: 2 };
    const newer = { ...theirs, routes: 3 };
    const next = catchUp.chooseParts({ now: 5, theirs: newer, own: caughtUp, reliesOnPeers: true });
    expect(next).to.deep.equal(['routes']);
  });

  it('is asked for after its own read was due, where it follows the store', () => {
    const catchUp = createCatchUp();
    expect(catchUp.chooseParts({ now: 0, theirs, own, reliesOnPeers: false })).to.deep.equal([]);
    expect(catchUp.chooseParts({ now: 700, theirs, own, reliesOnPeers: false })).to.deep.equal([
      'routes',
    ]);
  });
});

interface Kept {
  node: PeerNode;
  peering: Peering;
  document: RoutingDocument;
}

function createDocument(version: number): RoutingDocument {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { table: { version, routes: [], services: new Map(), limits }, text: String(version) };
}

/** A gateway of the network with routes, which relies on others for them. */
function keepRoutes(network: ReturnType<typeof createPeerNetwork>, node: PeerNode): Kept {
  const kept = { node, document: createDocument(1) } as Kept;
  const routes = {
    version: () => kept.document.table.version,
    document: () => kept.document,
    offer(document: RoutingDocument) {
      kept.document = document;
      node.versions = { ...node.versions, routes: document.table.version };
    },
  };
  kept.peering = createPeering({
    clock: network.clock,
    log: createKeptLog(),
    overlay: () => node.overlay,
    routes,
    fleet: { revision: () => 1 },
    followers: { isLargeFleet: () => true, mayRelyOnPeers: () => true },
    parseRoutes: (text: string) => createDocument(Number(text)),
  } as unknown as PeeringParts);
  node.handle = kept.peering.received;
  node.versionsReceived = kept.peering.versionsReceived;
  return kept;
}

describe('routes in a fleet of 300 gateways', function () {
  this.timeout(30_000);

  function start() {
    const network = createPeerNetwork();
    const names = Array.from({ length: 300 }, (_, index) => nameOf(index));
    const all = names.map((name) => keepRoutes(network, network.start(name, names)));
    network.advance(8_000);
    for (const { node } of all) node.received.splice(0);
    return { network, all };
  }

  function change({ document, node, peering }: Kept, version: number): void {
    node.versions = { ...node.versions, routes: version };
    Object.assign(document, createDocument(version));
    peering.announce();
  }

  function countCopies(all: readonly Kept[]): number {
    const received = all.flatMap(({ node }) => node.received);
    return received.filter(({ message }) => message.kind === 'routes').length;
  }

  it('reach all within 200 ms, in one copy each', () => {
    const { network, all } = start();
    const [first] = all;
    if (first === undefined) throw new Error('no gateway');
    change(first, 2);
    network.advance(200);
    expect(new Set(all.map(({ document }) => document.table.version))).to.deep.equal(new Set([2]));
    expect(countCopies(all)).to.equal(299);
  });

  it('reach all within the time for a change where a third is cut off from the others meanwhile', () => {
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
