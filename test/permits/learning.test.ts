import { expect } from 'chai';
import {
  createLineFit,
  createOutputEstimate,
  createPrefixIndex,
  createRecentUse,
  createServerHealth,
  createServerRates,
} from '../../src/permits/index.js';

describe('learned properties of servers and teams', () => {
  it('fits a line to measurements and returns to the anchors without them', () => {
    const fit = createLineFit([
      { x: 0, y: 0 },
      { x: 100, y: 10 },
    ]);
    for (let x = 0; x < 100; x += 2) fit.observe({ x, y: 5 + x * 0.3 }, x);
    expect(fit.valueAt(200, 100)).to.be.closeTo(65, 5);
    expect(fit.valueAt(100, 300_000)).to.be.closeTo(10, 0.5);
  });

  it('limits the effect of one outlier', () => {
    const rates = createServerRates();
    rates.setNominal({ prefillTokensPerSecond: 10_000, decodeTokensPerSecond: 50, maxBatch: 32 });
    for (let index = 0; index < 20; index += 1) rates.observeFirstToken(1_000, 100, index);
    rates.observeFirstToken(1_000, 60_000, 20);
    expect(rates.firstTokenMs(1_000, 21)).to.be.within(90, 140);
  });

  it('lowers the limit of a failing server, ejects it and probes it with exponential backoff', () => {
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

  it('ejects a server once for many streams that break at the same time', () => {
    const health = createServerHealth();
    for (let index = 0; index < 30; index += 1) health.record('bad', 0);
    expect(health.ejectedUntil()).to.equal(500);
  });

  it('estimates output from the class for an unknown team and from the fallback for an unknown class', () => {
    const estimate = createOutputEstimate();
    expect(estimate.estimate({ team: 'a', class: 'verdict' }, 128)).to.equal(128);
    estimate.observe({ team: 'a', class: 'verdict' }, 24);
    expect(estimate.estimate({ team: 'a', class: 'verdict' }, 128)).to.equal(24);
    expect(estimate.estimate({ team: 'b', class: 'verdict' }, 128)).to.equal(24);
    expect(estimate.estimate({ team: 'b', class: 'other' }, 128)).to.equal(128);
  });

  it('detects a team beyond its weighted share only while other teams are served', () => {
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

  it('tolerates one burst, but not a team that exceeds a large share by a fraction of it', () => {
    const use = createRecentUse();
    for (const team of ['a', 'b', 'c', 'd']) use.add({ team, weight: 1, tokens: 10_000 }, 0);
    use.add({ team: 'burst', weight: 1, tokens: 32_000 }, 0);
    use.add({ team: 'large', weight: 4, tokens: 110_000 }, 0);
    expect(use.isBeyondShare('burst', 0)).to.equal(false);
    expect(use.isBeyondShare('large', 0)).to.equal(true);
  });

  it('drops the prefixes that an engine reports as removed', () => {
    const index = createPrefixIndex();
    index.add(['a', 'b', 'c']);
    index.remove(['c']);
    expect(index.countCached(['a', 'b', 'c'])).to.equal(2);
    index.clear();
    expect(index.countCached(['a', 'b', 'c'])).to.equal(0);
  });
});
