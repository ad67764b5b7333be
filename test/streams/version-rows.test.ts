import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createVersionHistory, createVersionRows } from '../../src/streams/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

const SERVICE = 'chat';
const KEEP_MS = 60_000;

describe('stored software versions', () => {
  const { table: shared } = createMemoryTable();
  let registered: string[];

  function start(
    clock: ReturnType<typeof createFakeClock>,
    isHolder: () => boolean = () => true,
    table = shared,
    lastWithoutRowsAt = () => Number.NEGATIVE_INFINITY,
  ) {
    const aborter = new AbortController();
    const history = createVersionHistory({
      now: () => clock.clock.now(),
      registered: () => registered,
      keepMs: () => KEEP_MS,
      lastWithoutRowsAt,
    });
    const rows = createVersionRows({
      table,
      clock: clock.clock,
      log: createSilentLog(),
      signal: aborter.signal,
      history,
      services: () => [SERVICE],
      isOwn: isHolder,
    });
    void rows.start();
    return { history, rows, aborter };
  }

  it('tell a gateway that starts of versions that are gone, until their streams are over', async () => {
    const time = createFakeClock();
    registered = ['v1'];
    const holder = start(time);
    await time.advance(1_000);
    registered = ['v1', 'v2'];
    await time.advance(1_000);
    registered = ['v2'];
    holder.history.seen(SERVICE, 'v1');
    await time.advance(1_000);
    const fresh = start(createFakeClock(), () => false);
    await time.advance(10);
    expect(fresh.history.versions(SERVICE)).to.deep.equal({
      versions: ['v1', 'v2'],
      isComplete: true,
    });
    await time.advance(KEEP_MS);
    const later = start(createFakeClock(), () => false);
    await time.advance(10);
    expect(later.history.versions(SERVICE)).to.deep.equal({ versions: ['v2'], isComplete: true });
    for (const { aborter } of [holder, fresh, later]) aborter.abort();
  });

  it('are complete at every gateway soon after the first start of all', async () => {
    const time = createFakeClock();
    const { table } = createMemoryTable();
    registered = ['v1'];
    const gateways = [true, false].map((isHolder) => start(time, () => isHolder, table));
    await time.advance(3_000);
    for (const { history, aborter } of gateways) {
      expect(history.versions(SERVICE)).to.deep.equal({ versions: ['v1'], isComplete: true });
      aborter.abort();
    }
  });

  it('are written by a gateway that comes to keep the row, whatever it has stored before', async () => {
    const time = createFakeClock();
    const { table, control } = createMemoryTable();
    const holders = new Set(['first']);
    registered = ['v1', 'v2'];
    const first = start(time, () => holders.has('first'), table);
    await time.advance(1_000);
    holders.clear();
    await time.advance(1_000);
    control.rows.set('software-versions/chat', {
      key: 'software-versions/chat',
      revision: 9,
      value: { versions: ['v1'] },
    });
    holders.add('first');
    await time.advance(1_000);
    first.aborter.abort();
    const row = control.rows.get('software-versions/chat');
    expect(row?.value).to.deep.equal({ versions: ['v1', 'v2'] });
  });

  it('are not complete for as long as gateways of an earlier release may have begun streams', async () => {
    const time = createFakeClock();
    const { table } = createMemoryTable();
    registered = ['v1'];
    const { history, aborter } = start(
      time,
      () => true,
      table,
      () => 2_000,
    );
    await time.advance(3_000);
    expect(history.versions(SERVICE)).to.include({ isComplete: false });
    await time.advance(KEEP_MS);
    expect(history.versions(SERVICE)).to.include({ isComplete: true });
    aborter.abort();
  });
});
