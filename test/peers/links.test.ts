import { expect } from 'chai';
import { createOverlay, type Overlay } from '../../src/peers/index.js';
import { createSystemClock, createSystemRandom } from '../../src/task/index.js';
import { createKeptLog, until, type KeptLog } from '../fixtures/gateway.js';

interface Member {
  overlay: Overlay;
  log: KeptLog;
  /** Senders of all received messages, heartbeats included. */
  received: string[];
  lost: string[];
}

describe('the overlay over WebSockets', () => {
  const members: Member[] = [];

  afterEach(() => {
    for (const { overlay } of members.splice(0)) {
      overlay.close();
    }
  });

  async function startMember(node: string): Promise<Member> {
    const log = createKeptLog();
    const received: string[] = [];
    const lost: string[] = [];
    // the address is set below, once the port is known and before any introduction is sent
    const self = { node, incarnation: `${node}-1`, address: '', front: '', zone: 'a', cores: 1 };
    const overlay = createOverlay({
      clock: createSystemClock(),
      random: createSystemRandom(),
      log,
      self,
      status: () => ({ isReady: true, isFollowing: true }),
      versions: () => ({ routes: 1, fleet: 1 }),
      digests: () => ({ crashes: 0, notices: 0 }),
      digestsReceived: () => undefined,
      requiredPeers: () => [],
      received: (peer) => received.push(peer),
      versionsReceived: (peer) => received.push(peer),
      lost: (peer) => lost.push(peer),
    });
    await overlay.listen('127.0.0.1', 0);
    self.address = `127.0.0.1:${overlay.port()}`;
    overlay.start();
    const member = { overlay, log, received, lost };
    members.push(member);
    return member;
  }

  it('keeps one link between two gateways that dialled each other at the same time', async () => {
    const [a, b] = [await startMember('a'), await startMember('b')];
    a.overlay.addAddress(`127.0.0.1:${b.overlay.port()}`);
    b.overlay.addAddress(`127.0.0.1:${a.overlay.port()}`);
    await until(() => a.overlay.peers().length === 1 && b.overlay.peers().length === 1);
    // longer than a link without heartbeats would last
    await until(() => a.received.length > 6 && b.received.length > 6);
    expect(a.lost).to.deep.equal([]);
    expect(b.lost).to.deep.equal([]);
  });

  it('discovers gateways through known peers', async () => {
    const [a, b, c] = [await startMember('a'), await startMember('b'), await startMember('c')];
    b.overlay.addAddress(`127.0.0.1:${a.overlay.port()}`);
    await until(() => a.overlay.peers().length === 1);
    c.overlay.addAddress(`127.0.0.1:${a.overlay.port()}`);
    await until(() => b.overlay.peers().length === 2 && c.overlay.peers().length === 2);
  });

  it('reports a peer that has gone as lost', async () => {
    const [a, b] = [await startMember('a'), await startMember('b')];
    a.overlay.addAddress(`127.0.0.1:${b.overlay.port()}`);
    await until(() => a.overlay.peers().length === 1);
    b.overlay.close();
    // an isolated gateway has no peers at once, and considers b lost only later
    await until(() => a.lost.includes('b') && hasLost(a, 'b'));
    expect(a.overlay.peers()).to.deep.equal([]);
    expect(a.overlay.send('b', { kind: 'job.read', id: 'x' })).to.equal(false);
  });
});

function hasLost({ log }: Member, node: string): boolean {
  for (const { event, fields } of log.lines) {
    if (event !== 'gatewaysChanged' || !Array.isArray(fields.lost)) continue;
    if (fields.lost.includes(node)) return true;
  }
  return false;
}
