// A VM was suspended for some seconds while it held the right to give orders. Its steady clock did not count that time,
// so its turn still seemed valid after another gateway had taken the right.
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

describe('a holder of the right to give orders whose VM is suspended', () => {
  it('has no turn any more after it, though its steady clock stood still', async () => {
    const { lease, time } = createHolder();
    const turn = await lease.acquire();
    expect(turn?.isValid()).to.equal(true);
    time.ofDay += 5_000;
    expect(turn?.isValid()).to.equal(false);
  });

  it('takes a turn anew after it', async () => {
    const { lease, time } = createHolder();
    const before = await lease.acquire();
    time.ofDay += 5_000;
    const turn = await lease.acquire();
    expect(turn?.isValid()).to.equal(true);
    expect(turn?.fence).to.be.above(before?.fence ?? Number.NaN);
  });

  it('keeps no turn for longer because the time of day jumps back', async () => {
    const { lease, time, advance } = createHolder();
    const turn = await lease.acquire();
    time.ofDay -= 60_000;
    expect(turn?.isValid()).to.equal(true);
    await advance(LEASE_MS);
    expect(turn?.isValid()).to.equal(false);
  });
});
