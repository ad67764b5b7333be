// Guards against a gateway that grows with what its peers do not read, as where their processors are starved.
import { expect } from 'chai';
import { WebSocket } from 'ws';
import { createSilentLog } from '../../src/events/index.js';
import { createPeerLinks, type PeerLinks } from '../../src/peers/links.js';
import { encodeMessage } from '../../src/peers/messages.js';
import { createSystemClock } from '../../src/task/index.js';
import { until } from '../fixtures/gateway.js';

/** Messages that are sent at most; the system itself keeps some megabytes of them. */
const MESSAGES = 100_000;
const ID = 'x'.repeat(200);

function createState(node: string) {
  return {
    node,
    incarnation: `${node}-1`,
    sequence: 1,
    address: '127.0.0.1:9',
    front: '127.0.0.1:9',
    zone: 'a',
    cores: 1,
    isReady: true,
    isFollowing: true,
  };
}

describe('a link to a peer that does not read', () => {
  let links: PeerLinks;
  let peer: WebSocket;

  afterEach(() => {
    peer.terminate();
    links.close();
  });

  it('takes no further message once too much waits', async () => {
    const opened: string[] = [];
    links = createPeerLinks(createSystemClock(), createSilentLog(), {
      ownState: () => createState('own'),
      opened: ({ node }) => opened.push(node),
      received: () => undefined,
      closed: () => undefined,
      failed: () => undefined,
      selfDialled: () => undefined,
      upgradeRequested: () => false,
    });
    await links.listen('127.0.0.1', 0);
    peer = new WebSocket(`ws://127.0.0.1:${links.port()}`);
    peer.on('open', () => {
      const introduction = { kind: 'introduction', state: createState('peer') } as const;
      peer.send(encodeMessage({ ...introduction, isReplacement: false }));
    });
    await until(() => opened.length === 1);
    peer.pause();
    let taken = 0;
    while (taken < MESSAGES && links.send('peer', { kind: 'job.read', id: ID })) {
      taken += 1;
      // lets the system take what it has room for
      if (taken % 100 === 0) await new Promise((resolve) => setImmediate(resolve));
    }
    expect(taken).to.be.below(MESSAGES);
  });
});
