// Guards against a gateway that has just started and takes itself for the only one before it knows its peers: it refused
// for good what they would have known.
import { expect } from 'chai';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { startOriginKeeping } from '../fixtures/origin-keeping.js';

const servers = ['v1', 'v2'].map((version) => ({ version }) as RegisteredServer);
const continued = { requestId: 'r2', attempt: 'r1', services: ['chat'] };

describe('a gateway that has just started and knows no other', () => {
  function start() {
    const state = { hasReadAddresses: false, fleetSize: undefined as number | undefined };
    const { streams } = startOriginKeeping({
      fleet: () => ({ registered: () => servers }),
      overlay: () => ({
        peers: () => [],
        knownGateways: () => 1,
        fleetSize: () => state.fleetSize,
        send: () => false,
      }),
      hasReadAddresses: () => state.hasReadAddresses,
    });
    return { state, streams };
  }

  it('says that it does not know yet where a stream began', async () => {
    const { state, streams } = start();
    expect(await streams.find(continued)).to.deep.equal({ kind: 'unknown', reason: 'no-answer' });
    state.hasReadAddresses = true;
    expect(await streams.find(continued)).to.deep.equal({ kind: 'unknown', reason: 'no-answer' });
  });

  it('says so for good once it has had time to find the others', async () => {
    const { state, streams } = start();
    Object.assign(state, { hasReadAddresses: true, fleetSize: 1 });
    expect(await streams.find(continued)).to.deep.equal({
      kind: 'unknown',
      reason: 'not-recorded',
    });
  });
});
