import { expect } from 'chai';
import { createCrashCorrelator, type CrashReport } from '../../src/quarantine/crash-correlator.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function createCase() {
  const { clock, advance } = createFakeClock();
  const discounted: string[] = [];
  const correlator = createCrashCorrelator<CrashReport>(clock, ({ fingerprint }) => {
    discounted.push(fingerprint);
  });
  return { correlator, discounted, advance };
}

function createReport(fingerprint: string, server: string, crashes = 1): CrashReport {
  return { fingerprint, server, crashes };
}

describe('crash correlation', () => {
  it('discounts a crash if another server without the request crashed at the same moment', async () => {
    const { correlator, discounted, advance } = createCase();
    correlator.counted(createReport('page', 'one'));
    await advance(10);
    correlator.reported(createReport('other', 'two'));
    await advance(100);
    expect(discounted).to.deep.equal(['page']);
  });

  it('does not discount a crash if the request also ran on the other server, even if that is reported later', async () => {
    const { correlator, discounted, advance } = createCase();
    correlator.counted(createReport('fatal', 'one'));
    await advance(2);
    correlator.reported(createReport('neighbour', 'two'));
    await advance(5);
    correlator.reported(createReport('fatal', 'two', 2));
    await advance(100);
    expect(discounted).to.deep.equal([]);
  });

  it('does not discount a crash if another server crashed later', async () => {
    const { correlator, discounted, advance } = createCase();
    correlator.counted(createReport('fatal', 'one'));
    await advance(60);
    correlator.reported(createReport('other', 'two'));
    await advance(100);
    expect(discounted).to.deep.equal([]);
  });

  it('discounts a crash if another request on the server has more crashes', async () => {
    const { correlator, discounted, advance } = createCase();
    correlator.counted(createReport('page', 'one'));
    correlator.reported(createReport('fatal', 'one', 2));
    await advance(100);
    expect(discounted).to.deep.equal(['page']);
  });
});
