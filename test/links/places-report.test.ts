import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import type { Query } from '../../src/links/index.js';
import { createPlacesReport } from '../../src/node/places-report.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

describe('the report of places in use', () => {
  it('goes to a holder while it is used and for a while after a permit was asked', async () => {
    const { clock, advance } = createFakeClock();
    const links = {
      notify: () => undefined,
      query: () => Promise.resolve(Ok({ kind: 'done' as const })),
    };
    const report = createPlacesReport(links, clock, () => undefined);
    expect(report.isDue('manuals', 0)).to.equal(false);
    await report.links.query('entry-2', { kind: 'permit.request', shard: 'manuals' } as Query, 10);
    await advance(9_000);
    expect(report.isDue('manuals', 0)).to.equal(true);
    expect(report.isDue('manuals', 1)).to.equal(true);
    await advance(9_000);
    expect(report.isDue('manuals', 0)).to.equal(true);
    expect(report.isDue('readings', 0)).to.equal(false);
    await advance(2_000);
    expect(report.isDue('manuals', 0)).to.equal(false);
  });
});
