import { expect } from 'chai';
import type { GatewayState, PeerMessage } from '../../src/peers/index.js';
import { startOriginKeeping } from '../fixtures/origin-keeping.js';

function peer(node: string, recordsOrigins?: boolean): GatewayState {
  return {
    node,
    incarnation: node,
    sequence: 1,
    address: '127.0.0.1:1',
    front: '127.0.0.1:2',
    zone: 'a',
    cores: 1,
    isReady: true,
    isFollowing: true,
    recordsOrigins,
  };
}

describe('gateways of two releases side by side', () => {
  it('do not send where streams began to the earlier ones, which would close the link', () => {
    const sent: { to: string; message: PeerMessage }[] = [];
    const peers = [peer('earlier'), peer('same', true)];
    const { streams } = startOriginKeeping({
      fleet: () => ({ registered: () => [] }),
      overlay: () => ({
        peers: () => peers,
        knownGateways: () => 3,
        fleetSize: () => 3,
        send: (to, message) => sent.push({ to, message }) > 0,
      }),
      hasReadAddresses: () => true,
    });
    streams.record('a', { service: 'chat', version: 'v1' }, 1_000);
    void streams.find({ requestId: 'b', attempt: 'c', services: ['chat'] });
    expect(sent.map(({ to, message }) => [to, message.kind])).to.deep.equal([
      ['same', 'origin.record'],
      ['same', 'origin.query'],
    ]);
  });
});
