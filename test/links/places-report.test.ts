import { expect } from 'chai';
import { Err, Ok, type Result } from 'ts-results-es';
import { createRefusal, type Failure } from '../../src/errors/index.js';
import type { Answer, Query } from '../../src/links/index.js';
import { createPlacesReport } from '../../src/node/places-report.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const wish = { kind: 'permit.request', shard: 'manuals' } as Query;

function start() {
  const { clock, advance } = createFakeClock();
  const control: { answer: Result<Answer, Failure> } = { answer: Ok({ kind: 'done' }) };
  const links = { notify: () => undefined, query: () => Promise.resolve(control.answer) };
  const report = createPlacesReport(links, clock, () => undefined);
  const isDue = (places: number, holder = 'entry-2/1', allPlaces = places, shard = 'manuals') =>
    report.isDue({ shard, holder, places, allPlaces });
  return { report, control, advance, isDue };
}

describe('the report of places in use', () => {
  it('goes to a holder while it is used and for a while after a permit was asked', async () => {
    const { report, advance, isDue } = start();
    expect(isDue(0)).to.equal(false);
    await report.links.query('entry-2', wish, 10);
    await advance(9_000);
    expect(isDue(0)).to.equal(true);
    await advance(1_000);
    expect(isDue(1)).to.equal(true);
    await advance(9_000);
    expect(isDue(0)).to.equal(true);
    expect(isDue(0, 'entry-3/1', 0, 'readings')).to.equal(false);
    await advance(2_000);
    expect(isDue(0)).to.equal(false);
  });

  it('is repeated at a bounded rate, but made at once to a new holder', async () => {
    const { advance, isDue } = start();
    expect(isDue(10, 'entry-2/1', 64)).to.equal(true);
    await advance(3_000);
    expect(isDue(10, 'entry-2/1', 64)).to.equal(false);
    expect(isDue(10, 'entry-3/2', 64)).to.equal(true);
    await advance(4_000);
    expect(isDue(10, 'entry-3/2', 64)).to.equal(true);
    await advance(10_000);
    expect(isDue(10, 'entry-3/2', 10_000)).to.equal(true);
  });

  it('is repeated every time to a holder that could not be reached lately', async () => {
    const { report, control, advance, isDue } = start();
    const detail = { code: 'peer-unreachable', step: 'link.call', peer: 'entry-2' } as const;
    control.answer = Err(createRefusal({ ...detail, message: 'cut' }));
    await report.links.query('entry-2', wish, 10);
    expect(isDue(10, 'entry-2/1', 64)).to.equal(true);
    await advance(1_000);
    expect(isDue(10, 'entry-2/1', 64)).to.equal(true);
  });
});
