import { expect } from 'chai';
import fc from 'fast-check';
import { nodeRowKey, parseNodeRow, type LeaseTerms } from '../../src/lease/index.js';
import type { TableService } from '../../src/ports/index.js';
import { createSeededRandom, wait, type Clock } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { leaseTerms, startLeaseNode, type LeaseNode } from '../fixtures/lease-nodes.js';
import { createMemoryTable } from '../fixtures/memory-table.js';
import { createUnsteadyTable } from '../fixtures/unsteady-table.js';

const NODES = ['a', 'b', 'c'];

interface Pause {
  node: number;
  at: number;
  forMs: number;
}

interface Scenario {
  seed: number;
  slowShare: number;
  maxDelayMs: number;
  pauses: Pause[];
}

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer(),
  slowShare: fc.constantFrom(0, 0.1, 0.4),
  maxDelayMs: fc.constantFrom(500, 2_000, 8_000),
  pauses: fc.array(
    fc.record({
      node: fc.nat(NODES.length - 1),
      at: fc.integer({ min: 0, max: 20_000 }),
      forMs: fc.integer({ min: 100, max: 10_000 }),
    }),
    { maxLength: 4 },
  ),
});

/** Runs a scenario; returns how many nodes believed that they held the shard, at once at most and at the end. */
async function run(scenario: Scenario, terms: LeaseTerms, shared = false) {
  const { clock, advance } = createFakeClock();
  const { table } = createMemoryTable();
  const random = createSeededRandom(scenario.seed);
  const nodes: LeaseNode[] = [];
  let steady = false;
  const createTable = (own: Clock) => {
    const { slowShare, maxDelayMs } = scenario;
    const slow = { clock: own, random, slowShare, maxDelayMs, timeoutMs: 1_000 };
    const unsteadyTable = createUnsteadyTable(table, slow);
    const steadyTable = createUnsteadyTable(table, { ...slow, slowShare: 0 });
    const choose = () => (steady ? steadyTable : unsteadyTable);
    return {
      get: (key: string) => choose().get(key),
      range: (range: Parameters<typeof table.range>[0]) => choose().range(range),
      transact: (transaction: Parameters<typeof table.transact>[0]) =>
        choose().transact(transaction),
    };
  };
  for (const name of NODES) {
    const incarnation = `${name}-1`;
    startLeaseNode({
      name: shared ? 'a' : name,
      incarnation,
      clock,
      table: createTable,
      terms,
      nodes,
    });
  }
  for (const { node, at, forMs } of scenario.pauses) {
    clock.after(at, () => nodes[node]?.clock.pause());
    clock.after(at + forMs, () => nodes[node]?.clock.resume());
  }
  let maxAtOnce = 0;
  for (let at = 0; at < 45_000; at += 50) {
    steady = at > 30_000;
    await advance(50);
    maxAtOnce = Math.max(maxAtOnce, nodes.filter((node) => node.believes()).length);
  }
  return { maxAtOnce, atEnd: nodes.filter((node) => node.believes()).length };
}

describe('leases', () => {
  it('let at most one node order a shard, and one at the end, with slow tables and paused nodes', async () => {
    await fc.assert(
      fc.asyncProperty(scenarios, async (scenario) => {
        expect(await run(scenario, leaseTerms)).to.deep.equal({ maxAtOnce: 1, atEnd: 1 });
      }),
      { numRuns: 40, seed: 20_261 },
    );
  });

  it('let one process at a time hold the lease of a node name', async () => {
    await fc.assert(
      fc.asyncProperty(scenarios, async (scenario) => {
        expect((await run(scenario, leaseTerms, true)).maxAtOnce).to.be.at.most(1);
      }),
      { numRuns: 20, seed: 20_262 },
    );
  });

  it('control: detects a taker whose limit is shorter than the holder’s', async () => {
    const unsafeTerms = { renewEveryMs: 750, holderMs: 4_500, takerMs: 1_500 };
    const result = await fc.check(
      fc.asyncProperty(
        scenarios,
        async (scenario) => (await run(scenario, unsafeTerms)).maxAtOnce <= 1,
      ),
      { numRuns: 40, seed: 20_261, endOnFailure: true },
    );
    expect(result.failed).to.equal(true);
  });
});

describe('a node lease', () => {
  /** Starts nodes one after the other, `phaseMs` apart. */
  async function setUp(count = 2, phaseMs = 0) {
    const { clock, advance, runUntil } = createFakeClock();
    const { table, control } = createMemoryTable();
    const nodes: LeaseNode[] = [];
    const reading = { delayMs: 0 };
    const slow: TableService = {
      ...table,
      get: (key) =>
        reading.delayMs > 0
          ? wait(clock, reading.delayMs).then(() => table.get(key))
          : table.get(key),
    };
    const start = (name: string, incarnation = `${name}-1`) =>
      startLeaseNode({ name, incarnation, clock, table: () => slow, nodes });
    for (const name of NODES.slice(0, count)) {
      start(name);
      await advance(phaseMs);
    }
    await advance(3_000);
    const holder = nodes.find((node) => node.believes());
    const other = nodes.find((node) => !node.believes()) ?? holder;
    if (holder === undefined || other === undefined) throw new Error('nobody holds the shard');
    const row = (name: string) => parseNodeRow(control.rows.get(nodeRowKey(name))?.value);
    return { clock, advance, runUntil, control, reading, holder, other, start, row };
  }

  /** Returns the time until a node believes that it holds the shard, in milliseconds. */
  async function timeUntil(node: LeaseNode, clock: Clock, advance: (ms: number) => Promise<void>) {
    const from = clock.now();
    while (!node.believes() && clock.now() - from < 20_000) await advance(10);
    return clock.now() - from;
  }

  it('is taken over within 5 s after its holder ends, at any point of the renewal period', async () => {
    for (let offset = 0; offset < 1_000; offset += 90) {
      const { clock, advance, holder, other } = await setUp();
      await advance(offset);
      holder.kill();
      expect(await timeUntil(other, clock, advance)).to.be.below(5_000);
    }
  });

  it('is taken over at once after a release, even if the answer to the release is lost', async () => {
    for (const fault of ['none', 'unknown-after-effect', 'unknown-without-effect'] as const) {
      const { clock, advance, runUntil, control, holder, other, row } = await setUp();
      await runUntil(holder.ownership.release());
      control.disturb(fault);
      await runUntil(holder.lease.release());
      expect(row(holder.name)?.state).to.equal('released');
      holder.kill();
      expect(await timeUntil(other, clock, advance)).to.be.below(2_500);
    }
  });

  it('survives a lost renewal that took as long as a call may take', async () => {
    const { clock, advance, control, reading, holder } = await setUp(1);
    reading.delayMs = 200;
    control.beforeTransact = () => wait(clock, 1_000);
    control.disturb('unknown-without-effect');
    for (let at = 0; at < 5_000; at += 50) {
      await advance(50);
      expect(holder.lease.isValid(), `at ${clock.now()}`).to.equal(true);
    }
  });

  it('is not replaced by a second process with the same name while it is renewed', async () => {
    const { advance, holder, start } = await setUp();
    const second = start(holder.name, `${holder.name}-2`);
    await advance(20_000);
    expect(holder.believes()).to.equal(true);
    expect(second.lease.isValid()).to.equal(false);
  });

  it('passes to a restarted process with the same name', async () => {
    const { advance, holder, start } = await setUp();
    holder.kill();
    const second = start(holder.name, `${holder.name}-2`);
    await advance(5_000);
    expect(second.lease.isValid()).to.equal(true);
  });

  it('frees its shards if its row was deleted and its process has ended', async () => {
    const { clock, advance, control, holder, other } = await setUp();
    holder.kill();
    control.rows.delete(nodeRowKey(holder.name));
    expect(await timeUntil(other, clock, advance)).to.be.below(6_000);
  });

  for (const outageMs of [2_000, 4_700, 30_200]) {
    it(`survives a table outage of ${outageMs} ms, and allows orders only after it`, async () => {
      for (let offset = 0; offset < 750; offset += 20) {
        const { advance, control, holder } = await setUp(2, 300);
        await advance(offset);
        const before = holder.lease.holder();
        control.down = true;
        await advance(outageMs);
        if (outageMs > leaseTerms.holderMs) expect(holder.believes()).to.equal(false);
        control.down = false;
        await advance(6_000);
        expect(holder.believes()).to.equal(true);
        expect(holder.lease.holder()).to.equal(before);
      }
    });
  }

  it('is taken over if its holder ended during a table outage', async () => {
    const { clock, advance, control, holder, other } = await setUp();
    control.down = true;
    await advance(10_000);
    holder.kill();
    await advance(10_000);
    control.down = false;
    expect(await timeUntil(other, clock, advance)).to.be.below(6_000);
  });
});
