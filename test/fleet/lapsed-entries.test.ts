/**
 * A server's entry was removed at 37.308 s, and requests reached the server up to 39.43 s. Every gateway had
 * read the removal within 5 ms and put it off, taking it for an entry that had lapsed while the store was
 * away, although the entry had been written anew since (`serverLapsed`, revision 61 after revision 57). The
 * time to return began anew when a second feed found the store again: `waitMs` 1,764 at 37.311 s and 1,231
 * at 39.075 s for the same removal, which took effect at 40.305 s.
 */
import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createFleet } from '../../src/fleet/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { change, removal } from '../fixtures/registry.js';

function setUp() {
  const fake = createFakeClock();
  const fleet = createFleet(fake.clock, createSilentLog(), () => undefined);
  const ids = () => fleet.available('pages').map(({ id }) => id);
  return { ...fake, fleet, ids };
}

describe('entries that lapse while the store is away', () => {
  it('are removed at once when they had returned', () => {
    const { fleet, ids } = setUp();
    fleet.learn(change('leaves', 12), 'store');
    fleet.learn(change('stays', 13), 'store');
    fleet.storeReturned();
    fleet.learn(removal('leaves', 40), 'store');
    fleet.learn(change('leaves', 57), 'store');
    expect(ids()).to.deep.equal(['leaves', 'stays']);
    fleet.learn(removal('leaves', 61), 'store');
    expect(ids()).to.deep.equal(['stays']);
  });

  it('have their time to return once, however often the store is found again', async () => {
    const { fleet, ids, advance } = setUp();
    fleet.learn(change('lost', 12), 'store');
    fleet.storeReturned();
    fleet.learn(removal('lost', 40), 'store');
    await advance(1_000);
    fleet.storeReturned();
    expect(ids()).to.deep.equal(['lost']);
    await advance(1_300);
    expect(ids()).to.deep.equal([]);
  });
});
