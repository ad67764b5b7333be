import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import type { NodeRow } from '../../src/lease/index.js';
import {
  createOwnership,
  resolveShards,
  selectNearNodes,
  shardRowKey,
} from '../../src/shards/index.js';
import { createVm } from '../fixtures/configuration.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

const former = { node: 'entry-2', incarnation: 'i', peer: '127.0.0.1:1', leaseId: 'theirs' };
const own = { node: 'entry-1', incarnation: 'i', peer: '127.0.0.1:2', leaseId: 'ours' };

/** Starts ownership on a node that gets no summaries from a holder with a valid lease. */
async function start() {
  const { clock, advance } = createFakeClock();
  const { table, control } = createMemoryTable();
  const row = { state: 'held' as NodeRow['state'] };
  const key = shardRowKey('manuals');
  const value = { holder: former, fence: 1, released: false };
  await table.transact({ conditions: [], puts: [{ key, value }], deletes: [] });
  const list = { vms: [createVm({ id: 'engine-1' })], maxServers: 16 };
  const lost: string[] = [];
  const names = ['entry-1'];
  const ownership = createOwnership({
    table,
    clock,
    log: createSilentLog(),
    node: 'entry-1',
    intervalMs: 250,
    summaryTtlMs: 1_000,
    shards: () => resolveShards(list.vms, list),
    aliveNodes: () => names,
    zonedNodes: () => [{ node: 'entry-1', zone: 'tema-hall' }],
    leaseHolder: () => own,
    isLeaseValid: () => true,
    readNodeRow: () => Promise.resolve({ holder: former, state: row.state, counter: 0 }),
    taken: () => undefined,
    lost: ({ name }) => lost.push(name),
  });
  ownership.start();
  return { ownership, control, row, list, lost, advance };
}

describe('a shard whose holder has a valid lease but sends no summaries', () => {
  it('is checked with increasing backoff, up to every five seconds', async () => {
    const { control, advance } = await start();
    const readsIn = async (durationMs: number) => {
      const before = control.reads;
      await advance(durationMs);
      return control.reads - before;
    };
    expect(await readsIn(2_000)).to.be.within(6, 9);
    await advance(58_000);
    expect(await readsIn(60_000)).to.be.within(10, 13);
  });

  it('is taken after the lease is over, within an eighth of the time without summaries', async () => {
    const { ownership, row, advance } = await start();
    await advance(4_000);
    row.state = 'lapsed';
    await advance(800);
    expect(ownership.find('manuals')?.fence).to.equal(2);
  });
});

describe('a repartitioned fleet', () => {
  it('is held only under its new shards', async () => {
    const { ownership, control, row, list, lost, advance } = await start();
    row.state = 'lapsed';
    await advance(1_000);
    expect(ownership.held().map(({ name }) => name)).to.deep.equal(['manuals']);
    list.vms = [createVm({ id: 'engine-1' }), createVm({ id: 'engine-2', zone: 'osu-hall' })];
    list.maxServers = 1;
    await advance(2_000);
    const names = ownership.held().map(({ name }) => name);
    expect(names).to.deep.equal(['manuals.osu-hall.0', 'manuals.tema-hall.0']);
    expect(lost).to.deep.equal(['manuals']);
    expect(control.rows.get(shardRowKey('manuals'))?.value).to.include({ released: true });
    list.vms = [];
    await advance(2_000);
    expect(ownership.held()).to.have.length(2);
  });
});

describe('the nodes that may hold a shard', () => {
  const nodes = [
    { node: 'entry-1', zone: 'tema-hall' },
    { node: 'entry-2', zone: 'tema-hall' },
    { node: 'entry-3', zone: 'osu-hall' },
  ];
  const shardIn = (...zones: string[]) => {
    const vms = zones.map((zone, index) => createVm({ id: `engine-${index}`, zone }));
    return { name: 'manuals', kind: 'model-engine' as const, vms };
  };

  it('are those of its zone if there are enough, and otherwise all', () => {
    const near = (least: number, ...zones: string[]) =>
      selectNearNodes(shardIn(...zones), nodes, least);
    expect(near(2, 'tema-hall', 'tema-hall')).to.deep.equal(['entry-1', 'entry-2']);
    expect(near(3, 'tema-hall')).to.have.length(3);
    expect(near(1, 'tema-hall', 'osu-hall')).to.have.length(3);
  });
});
