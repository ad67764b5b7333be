import { expect } from 'chai';
import { createCrashCorrelator, type CrashReport } from '../../src/quarantine/crash-correlator.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function createCase() {
  const { clock, advance } = createFakeClock();
  const discounted: string[] = [];
  const causes = createCrashCorrelator<CrashReport>(clock, ({ fingerprint }) => {
    discounted.push(fingerprint);
  });
  return { causes, discounted, advance };
}

function createRun(fingerprint: string, server: string, crashes = 1): CrashReport {
  return { fingerprint, server, crashes };
}

describe('what else explains the end of a server', () => {
  it('is the end of another one at the same moment, where the request was not at work', async () => {
    const { causes, discounted, advance } = createCase();
    causes.counted(createRun('page', 'one'));
    await advance(10);
    causes.reported(createRun('other', 'two'));
    await advance(100);
    expect(discounted).to.deep.equal(['page']);
  });

  it('is not the end of a server where the request was at work too, though that is heard later', async () => {
    const { causes, discounted, advance } = createCase();
    causes.counted(createRun('fatal', 'one'));
    await advance(2);
    causes.reported(createRun('neighbour', 'two'));
    await advance(5);
    causes.reported(createRun('fatal', 'two', 2));
    await advance(100);
    expect(discounted).to.deep.equal([]);
  });

  it('is not the end of another one a moment later', async () => {
    const { causes, discounted, advance } = createCase();
    causes.counted(createRun('fatal', 'one'));
    await advance(60);
    causes.reported(createRun('other', 'two'));
    await advance(100);
    expect(discounted).to.deep.equal([]);
  });

  it('is a request beside it under which more servers have ended', async () => {
    const { causes, discounted, advance } = createCase();
    causes.counted(createRun('page', 'one'));
    causes.reported(createRun('fatal', 'one', 2));
    await advance(100);
    expect(discounted).to.deep.equal(['page']);
  });
});
