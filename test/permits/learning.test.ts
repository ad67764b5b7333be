import { expect } from 'chai';
import {
  createLineFit,
  createOutputEstimate,
  createPrefixIndex,
  createRecentUse,
  createServerHealth,
  createServerRates,
} from '../../src/permits/index.js';

describe('what a holder learns of a server', () => {
  it('finds the line in measurements, and goes back to the assumed one without them', () => {
    const fit = createLineFit([
      { x: 0, y: 0 },
      { x: 100, y: 10 },
    ]);
    for (let x = 0; x < 100; x += 2) fit.observe({ x, y: 5 + x * 0.3 }, x);
    expect(fit.valueAt(200, 100)).to.be.closeTo(65, 5);
    expect(fit.valueAt(100, 300_000)).to.be.closeTo(10, 0.5);
  });

  it('is not thrown off by one freak measurement', () => {
    const rates = createServerRates();
    rates.setNominal({ prefillTokensPerSecond: 10_000, decodeTokensPerSecond: 50, maxBatch: 32 });
    for (let index = 0; index < 20; index += 1) rates.observeFirstToken(1_000, 100, index);
    rates.observeFirstToken(1_000, 60_000, 20);
    expect(rates.firstTokenMs(1_000, 21)).to.be.within(90, 140);
  });

  it('gives a failing server less, then nothing, then a probe after longer and longer pauses', () => {
    const health = createServerHealth();
    health.record('bad', 0);
    health.record('bad', 0);
    expect(health.limit(32, 0)).to.be.within(1, 31);
    health.record('bad', 0);
    expect([health.limit(32, 499), health.limit(32, 500)]).to.deep.equal([0, 1]);
    health.record('bad', 500);
    expect([health.limit(32, 1_499), health.limit(32, 1_500)]).to.deep.equal([0, 1]);
    health.record('good', 1_500);
    expect(health.limit(32, 1_500)).to.be.within(2, 31);
    for (let index = 0; index < 10; index += 1) health.record('good', 1_500);
    expect(health.limit(32, 1_500)).to.equal(32);
  });

  it('takes many streams that break at once for one failure', () => {
    const health = createServerHealth();
    for (let index = 0; index < 30; index += 1) health.record('bad', 0);
    expect(health.ejectedUntil()).to.equal(500);
  });

  it('assumes a class until a team is known, and what is configured until the class is', () => {
    const estimate = createOutputEstimate();
    expect(estimate.estimate({ team: 'a', class: 'verdict' }, 128)).to.equal(128);
    estimate.observe({ team: 'a', class: 'verdict' }, 24);
    expect(estimate.estimate({ team: 'a', class: 'verdict' }, 128)).to.equal(24);
    expect(estimate.estimate({ team: 'b', class: 'verdict' }, 128)).to.equal(24);
    expect(estimate.estimate({ team: 'b', class: 'other' }, 128)).to.equal(128);
  });

  it('knows who is beyond its share, by weight and while others are served', () => {
    const use = createRecentUse();
    use.add({ team: 'large', weight: 4, tokens: 100_000 }, 0);
    expect(use.isBeyondShare('large', 0)).to.equal(false);
    for (const team of ['a', 'b', 'c', 'd']) use.add({ team, weight: 1, tokens: 1_000 }, 0);
    expect(use.isBeyondShare('large', 0)).to.equal(true);
    expect(use.isBeyondShare('a', 0)).to.equal(false);
    for (const team of ['a', 'b', 'c', 'd']) use.add({ team, weight: 1, tokens: 20_000 }, 0);
    expect(use.isBeyondShare('large', 0)).to.equal(false);
    expect(use.isBeyondShare('large', 10 * 60_000)).to.equal(false);
  });

  it('takes a team for beyond its share by a fraction of a large share, not for one burst', () => {
    const use = createRecentUse();
    for (const team of ['a', 'b', 'c', 'd']) use.add({ team, weight: 1, tokens: 10_000 }, 0);
    use.add({ team: 'burst', weight: 1, tokens: 32_000 }, 0);
    use.add({ team: 'large', weight: 4, tokens: 110_000 }, 0);
    expect(use.isBeyondShare('burst', 0)).to.equal(false);
    expect(use.isBeyondShare('large', 0)).to.equal(true);
  });

  it('forgets the prefixes that an engine says it removed', () => {
    const index = createPrefixIndex();
    index.add(['a', 'b', 'c']);
    index.remove(['c']);
    expect(index.countCached(['a', 'b', 'c'])).to.equal(2);
    index.clear();
    expect(index.countCached(['a', 'b', 'c'])).to.equal(0);
  });
});
