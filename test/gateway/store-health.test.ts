import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createStoreHealth } from '../../src/gateway/store-health.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function setUp() {
  const { clock, advance } = createFakeClock();
  const events: string[] = [];
  const health = createStoreHealth(clock, createSilentLog(), {
    lost: () => events.push('lost'),
    returned: () => events.push('returned'),
  });
  health.onRecovered(() => events.push('regained'));
  health.succeeded('routes');
  function fail(feed: string, sentAt: number): void {
    health.failed({ feed, sentAt, reason: 'no answer' });
  }
  return { health, advance, events, fail };
}

describe('store health', () => {
  it('does not report an outage after one lost call', async () => {
    const { health, advance, events, fail } = setUp();
    await advance(1_000);
    fail('routes', 10);
    expect(health.isReachable()).to.equal(false);
    health.succeeded('routes');
    expect(events).to.deep.equal(['regained']);
    expect(health.isReachable()).to.equal(true);
  });

  it('reports an outage when a call sent after the first loss is lost as well', async () => {
    const { health, advance, events, fail } = setUp();
    await advance(1_000);
    fail('routes', 10);
    fail('registry', 20);
    expect(events).to.deep.equal([]);
    await advance(500);
    fail('routes', 1_000);
    fail('routes', 1_100);
    health.succeeded('registry');
    expect(events).to.deep.equal(['lost', 'returned', 'regained']);
  });

  it('limits further calls to one per interval for all feeds', async () => {
    const { health, advance } = setUp();
    expect(health.mayProbe(400)).to.equal(true);
    await advance(399);
    expect(health.mayProbe(400)).to.equal(false);
    await advance(1);
    expect(health.mayProbe(400)).to.equal(true);
  });

  it('ignores a lost call that was sent before the last response', async () => {
    const { health, advance, events, fail } = setUp();
    await advance(1_000);
    health.succeeded('registry');
    fail('routes', 900);
    expect(health.isReachable()).to.equal(true);
    expect(events).to.deep.equal([]);
  });
});
