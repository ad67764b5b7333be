import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { keepPaces } from '../../src/gateway/keep-paces.js';
import { createPaces, type PacesSnapshot } from '../../src/scheduling/index.js';
import { resolveReadingWork } from '../../src/scheduling/pace.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

describe('the paces of engines', () => {
  it('outlive the end of all gateways, in the store', async () => {
    const { table } = createMemoryTable();
    const { clock, advance } = createFakeClock();
    const work = resolveReadingWork(4_000, 0);
    const paces = createPaces();
    paces.learnRead('prefill', work, 60);
    const ending = new AbortController();
    const common = { table, clock, log: createSilentLog(), signal: ending.signal };
    const learnt = () => new Map<string, PacesSnapshot>([['chat', paces.snapshot()]]);
    void keepPaces({ ...common, learnt, adopt: () => undefined });
    await advance(5_000);

    const found = createPaces();
    void keepPaces({
      ...common,
      learnt: () => new Map(),
      adopt(service, snapshot) {
        expect(service).to.equal('chat');
        found.adopt(snapshot);
      },
    });
    await advance(10);
    expect(found.expectReadMs('prefill', work)).to.be.closeTo(60, 10);
    ending.abort();
  });
});
