// Guards against a grant that stays valid because the steady clock stops while the VM is suspended.
import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createOrderLease } from '../../src/roles/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

const LEASE_MS = 3_000;

function createHolder() {
  const { clock, advance } = createFakeClock();
  const time = { ofDay: 1_000_000 };
  const { table } = createMemoryTable(() => clock.now());
  const lease = createOrderLease({
    node: 'one',
    table,
    clock,
    timeOfDay: () => time.ofDay,
    log: createSilentLog(),
    leaseMs: LEASE_MS,
  });
  return { lease, time, advance };
}

describe('a holder of the order lease whose VM is suspended', () => {
  it('loses its grant although its steady clock stood still', async () => {
    const { lease, time } = createHolder();
    const grant = await lease.acquire();
    expect(grant?.isValid()).to.equal(true);
    time.ofDay += 5_000;
    expect(grant?.isValid()).to.equal(false);
  });

  it('takes a new grant afterwards', async () => {
    const { lease, time } = createHolder();
    const before = await lease.acquire();
    time.ofDay += 5_000;
    const grant = await lease.acquire();
    expect(grant?.isValid()).to.equal(true);
    expect(grant?.fence).to.be.above(before?.fence ?? Number.NaN);
  });

  it('does not keep its grant longer when the time of day jumps back', async () => {
    const { lease, time, advance } = createHolder();
    const grant = await lease.acquire();
    time.ofDay -= 60_000;
    expect(grant?.isValid()).to.equal(true);
    await advance(LEASE_MS);
    expect(grant?.isValid()).to.equal(false);
  });
});
