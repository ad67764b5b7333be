import { expect } from 'chai';
import { createGatewayMembership, type GatewayState, type PeerMessage } from '../../src/peers/index.js';
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
  const beliefs = createGatewayMembership({
    clock,
    self,
    status: () => ({ isReady: true, isFollowing: false }),
    partners: () => ['p', 'q'],
    isResponsive: () => false,
    send: (to, message) => sent.push({ to, message }),
    lost: (node) => lost.push(node),
    merged: () => undefined,
  });
  function settle(delayMs: number): void {
    advance(delayMs);
    beliefs.expire(clock.now());
  }
  return { beliefs, sent, lost, advance, settle };
}

/** The states that were told to a peer, as name and sequence. */
function statesTo(peer: string, sent: ReturnType<typeof setUp>['sent']): string[] {
  const told: string[] = [];
  for (const { to, message } of sent) {
    if (to !== peer || message.kind !== 'news') continue;
    told.push(...message.states.map(({ node, sequence }) => `${node}/${sequence}`));
  }
  return told;
}

describe('what a gateway believes of others', () => {
  it('counts a peer that others suspect as lost only when nobody refutes it in time', () => {
    const { beliefs, lost, settle } = setUp();
    beliefs.introductionReceived(stateOf('a', 1));
    beliefs.introductionReceived(stateOf('b', 1));
    beliefs.applyUpdates(suspicionOf('a', 1), 'p');
    beliefs.applyUpdates(suspicionOf('b', 1), 'p');
    settle(200);
    expect(lost).to.deep.equal([]);
    beliefs.applyUpdates({ kind: 'news', states: [stateOf('b', 2)], suspicions: [] }, 'q');
    settle(200);
    expect(lost).to.deep.equal(['a']);
    expect(beliefs.members.alive().map(({ node }) => node)).to.deep.equal(['b']);
  });

  it('is told to all when it is wrong about this gateway itself', () => {
    const { beliefs, sent, advance } = setUp();
    beliefs.applyUpdates(suspicionOf('self', 1), 'p');
    advance(50);
    expect(statesTo('p', sent)).to.deep.equal(['self/2']);
    expect(statesTo('q', sent)).to.deep.equal(['self/2']);
  });

  it('is corrected for one that has missed a refutation, and for nobody else', () => {
    const { beliefs, sent, advance } = setUp();
    beliefs.applyUpdates(suspicionOf('self', 1), 'q');
    beliefs.introductionReceived(stateOf('a', 5));
    advance(50);
    sent.splice(0);
    beliefs.applyUpdates(suspicionOf('self', 1), 'p');
    beliefs.applyUpdates(suspicionOf('a', 4), 'p');
    advance(50);
    expect(statesTo('p', sent)).to.deep.equal(['self/2', 'a/5']);
    expect(statesTo('q', sent)).to.deep.equal([]);
  });
});
