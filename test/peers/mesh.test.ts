import { expect } from 'chai';
import { createMesh, type Mesh, type PeerMessage } from '../../src/peers/index.js';
import { createSystemClock } from '../../src/task/index.js';
import { createKeptLog, until, type KeptLog } from '../fixtures/gateway.js';

interface Member {
  mesh: Mesh;
  log: KeptLog;
  received: PeerMessage[];
  lost: string[];
}

describe('the mesh of gateways', () => {
  const members: Member[] = [];

  afterEach(() => {
    for (const { mesh } of members.splice(0)) {
      mesh.close();
    }
  });

  async function join(node: string): Promise<Member> {
    const log = createKeptLog();
    const received: PeerMessage[] = [];
    const lost: string[] = [];
    // the port is known only once it is taken; the introduction is read when a link is made
    const self = { node, incarnation: `${node}-1`, address: '', front: '', zone: 'a', cores: 1 };
    const mesh = createMesh({
      clock: createSystemClock(),
      log,
      self,
      beat: () => ({ isReady: true, routes: 1, fleet: 1, isFollowing: true }),
      received: (_peer, message) => received.push(message),
      lost: (peer) => lost.push(peer),
    });
    await mesh.listen('127.0.0.1', 0);
    self.address = `127.0.0.1:${mesh.port()}`;
    const member = { mesh, log, received, lost };
    members.push(member);
    return member;
  }

  it('keeps one link between two gateways that dialled each other at once', async () => {
    const [a, b] = [await join('a'), await join('b')];
    a.mesh.learn(`127.0.0.1:${b.mesh.port()}`);
    b.mesh.learn(`127.0.0.1:${a.mesh.port()}`);
    await until(() => a.mesh.peers().length === 1 && b.mesh.peers().length === 1);
    // well beyond the time after which a link without heartbeats is dropped
    await until(() => a.received.length > 6 && b.received.length > 6);
    expect(a.lost).to.deep.equal([]);
    expect(b.lost).to.deep.equal([]);
  });

  it('learns of gateways from those it knows', async () => {
    const [a, b, c] = [await join('a'), await join('b'), await join('c')];
    b.mesh.learn(`127.0.0.1:${a.mesh.port()}`);
    await until(() => a.mesh.peers().length === 1);
    c.mesh.learn(`127.0.0.1:${a.mesh.port()}`);
    await until(() => b.mesh.peers().length === 2 && c.mesh.peers().length === 2);
  });

  it('says that a peer is lost when it is gone', async () => {
    const [a, b] = [await join('a'), await join('b')];
    a.mesh.learn(`127.0.0.1:${b.mesh.port()}`);
    await until(() => a.mesh.peers().length === 1);
    b.mesh.close();
    await until(() => a.lost.includes('b'));
    expect(a.mesh.send('b', { kind: 'job.read', id: 'x' })).to.equal(false);
  });
});
