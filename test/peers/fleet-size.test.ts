import { expect } from 'chai';
import { createFleetSize } from '../../src/peers/fleet-size.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

describe('the size of the fleet', () => {
  it('is withheld while it grows', async () => {
    const { clock, advance } = createFakeClock();
    const known = { count: 1 };
    const size = createFleetSize(clock, () => known.count);
    expect(size.settled()).to.equal(undefined);
    await advance(1_500);
    expect(size.settled()).to.equal(1);
    known.count = 30;
    expect(size.settled()).to.equal(undefined);
    await advance(500);
    expect(size.settled()).to.equal(undefined);
    await advance(1_000);
    expect(size.settled()).to.equal(30);
  });

  it('is known at once when it shrinks', async () => {
    const { clock, advance } = createFakeClock();
    const known = { count: 30 };
    const size = createFleetSize(clock, () => known.count);
    size.settled();
    await advance(1_500);
    known.count = 20;
    expect(size.settled()).to.equal(20);
  });
});
