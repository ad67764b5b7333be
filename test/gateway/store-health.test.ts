import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createStoreHealth } from '../../src/gateway/store-health.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function setUp() {
  const { clock, advance } = createFakeClock();
  const heard: string[] = [];
  const watch = createStoreHealth(clock, createSilentLog(), {
    lost: () => heard.push('lost'),
    returned: () => heard.push('returned'),
  });
  watch.onRecovered(() => heard.push('regained'));
  watch.succeeded('routes');
  function fail(feed: string, sentAt: number): void {
    watch.failed({ feed, sentAt, reason: 'no answer' });
  }
  return { watch, advance, heard, fail };
}

describe('the record of whether the store answers', () => {
  it('takes one lost call for a lost connection, not for an outage', async () => {
    const { watch, advance, heard, fail } = setUp();
    await advance(1_000);
    fail('routes', 10);
    expect(watch.isReachable()).to.equal(false);
    watch.succeeded('routes');
    expect(heard).to.deep.equal(['regained']);
    expect(watch.isReachable()).to.equal(true);
  });

  it('takes it for an outage when a call sent after the first loss is lost as well', async () => {
    const { watch, advance, heard, fail } = setUp();
    await advance(1_000);
    fail('routes', 10);
    fail('registry', 20);
    expect(heard).to.deep.equal([]);
    await advance(500);
    fail('routes', 1_000);
    fail('routes', 1_100);
    watch.succeeded('registry');
    expect(heard).to.deep.equal(['lost', 'returned', 'regained']);
  });

  it('lets feeds that ask once more take turns', async () => {
    const { watch, advance } = setUp();
    expect(watch.mayProbe(400)).to.equal(true);
    await advance(399);
    expect(watch.mayProbe(400)).to.equal(false);
    await advance(1);
    expect(watch.mayProbe(400)).to.equal(true);
  });

  it('learns nothing from a call that was sent before the last answer', async () => {
    const { watch, advance, heard, fail } = setUp();
    await advance(1_000);
    watch.succeeded('registry');
    fail('routes', 900);
    expect(watch.isReachable()).to.equal(true);
    expect(heard).to.deep.equal([]);
  });
});
