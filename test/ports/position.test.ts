import { expect } from 'chai';
import fc from 'fast-check';
import { resolveEra, resolvePosition, resolveRevision } from '../../src/ports/position.js';

describe('a place in the history of the store', () => {
  const place = fc.record({
    era: fc.integer({ min: 0, max: 8_191 }),
    revision: fc.integer({ min: 0, max: 2 ** 40 - 1 }),
  });

  it('goes by the era first and the revision then', () => {
    fc.assert(
      fc.property(place, place, (left, right) => {
        const positions = [left, right].map(({ era, revision }) => resolvePosition(era, revision));
        const [first = 0, second = 0] = positions;
        const byEra =
          left.era === right.era ? left.revision - right.revision : left.era - right.era;
        expect(Math.sign(first - second)).to.equal(Math.sign(byEra));
        expect(Number.isSafeInteger(first)).to.equal(true);
        expect(resolveEra(first)).to.equal(left.era);
        expect(resolveRevision(first)).to.equal(left.revision);
      }),
    );
  });

  it('is the revision where the store has no eras', () => {
    expect(resolvePosition(0, 77)).to.equal(77);
  });
});
