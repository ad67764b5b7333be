import { expect } from 'chai';
import {
  createGatewayMembership,
  type GatewayState,
  type PeerMessage,
} from '../../src/peers/index.js';
import { createSteppedClock } from '../fixtures/peer-network.js';

const self = {
  node: 'self',
  incarnation: 'self-1',
  address: 'self',
  front: 'self',
  zone: 'a',
  cores: 1,
};

function stateOf(node: string, sequence: number, incarnation = `${node}-1`): GatewayState {
  const rest = { address: node, front: node, zone: 'a', cores: 1 };
  return { node, incarnation, sequence, ...rest, isReady: true, isFollowing: false };
}

function suspicionOf(node: string, sequence: number): PeerMessage & { kind: 'news' } {
  return {
    kind: 'news',
    states: [],
    suspicions: [{ node, incarnation: `${node}-1`, sequence }],
  };
}

function setUp() {
  const { clock, advance } = createSteppedClock();
  const sent: { to: string; message: PeerMessage }[] = [];
  const lost: string[] = [];
  const membership = createGatewayMembership({
    clock,
    self,
    status: () => ({ isReady: true, isFollowing: false }),
    partners: () => ['p', 'q'],
    isResponsive: () => false,
    send: (to, message) => sent.push({ to, message }),
    lost: (node) => lost.push(node),
    merged: () => undefined,
  });
  function expireAfter(delayMs: number): void {
    advance(delayMs);
    membership.expire(clock.now());
  }
  return { membership, sent, lost, advance, expireAfter };
}

/** The states sent to a peer, as `name/sequence`. */
function statesTo(peer: string, sent: ReturnType<typeof setUp>['sent']): string[] {
  const states: string[] = [];
  for (const { to, message } of sent) {
    if (to !== peer || message.kind !== 'news') continue;
    states.push(...message.states.map(({ node, sequence }) => `${node}/${sequence}`));
  }
  return states;
}

describe('gateway membership', () => {
  it('marks a suspected peer as lost unless the suspicion is refuted in time', () => {
    const { membership, lost, expireAfter } = setUp();
    membership.introductionReceived(stateOf('a', 1));
    membership.introductionReceived(stateOf('b', 1));
    membership.applyUpdates(suspicionOf('a', 1), 'p');
    membership.applyUpdates(suspicionOf('b', 1), 'p');
    expireAfter(200);
    expect(lost).to.deep.equal([]);
    membership.applyUpdates({ kind: 'news', states: [stateOf('b', 2)], suspicions: [] }, 'q');
    expireAfter(200);
    expect(lost).to.deep.equal(['a']);
    expect(membership.members.alive().map(({ node }) => node)).to.deep.equal(['b']);
  });

  it('broadcasts a refutation of a suspicion against itself', () => {
    const { membership, sent, advance } = setUp();
    membership.applyUpdates(suspicionOf('self', 1), 'p');
    advance(50);
    expect(statesTo('p', sent)).to.deep.equal(['self/2']);
    expect(statesTo('q', sent)).to.deep.equal(['self/2']);
  });

  it('repeats a refutation only to the peer that missed it', () => {
    const { membership, sent, advance } = setUp();
    membership.applyUpdates(suspicionOf('self', 1), 'q');
    membership.introductionReceived(stateOf('a', 5));
    advance(50);
    sent.splice(0);
    membership.applyUpdates(suspicionOf('self', 1), 'p');
    membership.applyUpdates(suspicionOf('a', 4), 'p');
    advance(50);
    expect(statesTo('p', sent)).to.deep.equal(['self/2', 'a/5']);
    expect(statesTo('q', sent)).to.deep.equal([]);
  });
});
