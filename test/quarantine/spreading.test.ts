import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import {
  createFingerprint,
  createQuarantine,
  type Quarantine,
} from '../../src/quarantine/index.js';
import { settle } from '../fixtures/fake-clock.js';
import { createPeerNetwork, nameOf, type PeerNode } from '../fixtures/peer-network.js';

interface Member {
  node: PeerNode;
  quarantine: Quarantine;
}

/** Gateways on a network, each with a quarantine; every server that is dialled refuses connections. */
function createMembers(count: number) {
  const network = createPeerNetwork(count);
  const members: Member[] = [];

  function join(index: number): Member {
    const node = network.start(nameOf(index), index === 0 ? [] : [nameOf(0), nameOf(index - 1)]);
    const quarantine = createQuarantine({
      clock: network.clock,
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      probe: { dial: () => Promise.resolve('refused') },
      node: node.name,
      coordinatorOf: () => node.name,
      broadcast(message) {
        node.overlay.broadcast(message);
      },
      send(peer, message) {
        node.overlay.send(peer, message);
      },
      banChanged: () => undefined,
    });
    node.crashes = quarantine;
    node.handle = (from, message) => {
      if (message.kind === 'crashes') quarantine.received(from, message);
    };
    const member = { node, quarantine };
    members.push(member);
    return member;
  }

  for (let index = 0; index < count; index += 1) join(index);
  network.advance(20_000);
  return { network, members, join };
}

function createRequest(path: string) {
  return createFingerprint({ method: 'GET', host: 'desk', path, body: undefined });
}

/** Lets servers crash one after the other under a request of a gateway. */
async function crashServers({ quarantine }: Member, path: string, times: number): Promise<void> {
  for (let time = 0; time < times; time += 1) {
    const watched = quarantine.watch(
      { fingerprint: createRequest(path), service: 'pages', sharedParts: [] },
      () => undefined,
    );
    const server = { id: `server-${path}-${time}`, address: 'x' } as RegisteredServer;
    await watched.sent(server).lost();
    watched.ended();
  }
  await settle();
}

function memberOf(members: readonly Member[], index: number): Member {
  const member = members[index];
  if (member === undefined) throw new Error(`there is no gateway ${index}`);
  return member;
}

function countBans(members: readonly Member[]): number {
  return members.filter(({ quarantine }) => quarantine.bans().length > 0).length;
}

describe('replication of crash records', () => {
  for (const { count, boundMs } of [
    { count: 7, boundMs: 3_000 },
    { count: 195, boundMs: 5_000 },
  ]) {
    it(`bans a request at all ${count} gateways well within ${boundMs} ms`, async () => {
      const { network, members } = createMembers(count);
      await crashServers(memberOf(members, count - 1), '/fatal', 3);
      network.advance(boundMs / 10);
      expect(countBans(members)).to.equal(count);
    });
  }

  it('reaches a gateway that starts later, and one that was partitioned', async () => {
    const { network, members, join } = createMembers(20);
    const away = memberOf(members, 7);
    network.control.passes = (from, to) => ![from, to].includes(away.node.name);
    network.advance(4_000);
    await crashServers(memberOf(members, 3), '/fatal', 3);
    network.advance(4_000);
    expect(countBans([away])).to.equal(0);
    network.control.passes = () => true;
    const fresh = join(20);
    network.advance(3_000);
    expect(countBans([away, fresh])).to.equal(2);
  });

  it('counts in both halves of a partitioned fleet, and merges them afterwards', async () => {
    const { network, members } = createMembers(12);
    const half = new Set(members.slice(0, 6).map(({ node }) => node.name));
    network.control.passes = (from, to) => half.has(from) === half.has(to);
    network.advance(4_000);
    await crashServers(memberOf(members, 0), '/fatal', 1);
    await crashServers(memberOf(members, 11), '/fatal', 3);
    network.advance(1_000);
    expect(countBans(members)).to.equal(6);
    network.control.passes = () => true;
    network.advance(5_000);
    expect(countBans(members)).to.equal(12);
  });

  it('sends a bounded number of bytes when a hundred servers crash at once', async () => {
    const { network, members } = createMembers(60);
    const before = members.map(({ node }) => node.sentBytes);
    for (let server = 0; server < 100; server += 1) {
      for (let request = 0; request < 16; request += 1) {
        await crashServers(
          memberOf(members, (server + request) % 60),
          `/own/${server}/${request}`,
          1,
        );
      }
    }
    network.advance(5_000);
    const grown = members.map(({ node }, index) => node.sentBytes - (before[index] ?? 0));
    // a fifth of what the smallest gateway's link (14 Mbit/s) can carry in 5 s is 1.75 MB
    expect(Math.max(...grown)).to.be.below(1_750_000);
  });
});
