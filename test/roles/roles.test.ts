import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import type { EngineRole, RegisteredServer } from '../../src/fleet/index.js';
import { createOrderLease, resolveChanges, resolvePrefillCount } from '../../src/roles/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

const LEASE_MS = 3_000;

function engines(roles: readonly EngineRole[]): RegisteredServer[] {
  return roles.map((role, index) => ({
    id: `e${index}`,
    service: 'chat',
    address: `127.0.0.1:${index}`,
    zone: `zone-${index % 3}`,
    slots: 16,
    isLeaving: false,
    role,
    warmUpMs: 0,
  }));
}

describe('the split of engines', () => {
  it('lets engines read that generating does not need, but two', () => {
    expect(resolvePrefillCount(60, 2)).to.equal(52);
    expect(resolvePrefillCount(60, 0.1)).to.equal(58);
    expect(resolvePrefillCount(6, 0.1)).to.equal(4);
  });

  it('never takes engines from generating that the usual split gives it, for lack of knowledge', () => {
    const roles = [
      'prefill',
      'prefill',
      'prefill',
      'prefill',
      'prefill',
      'decode',
      'decode',
    ] as const;
    expect(resolveChanges(engines(roles))).to.deep.equal([]);
  });

  it('always leaves an engine that generates, and one that reads where there are two', () => {
    for (let count = 2; count < 60; count += 1) {
      expect(resolvePrefillCount(count)).to.be.within(1, count - 1);
    }
    expect(resolvePrefillCount(1)).to.equal(0);
  });

  it('orders just as many changes as the split lacks', () => {
    const fleet = engines(['decode', 'decode', 'decode', 'decode', 'decode', 'decode']);
    expect(resolveChanges(fleet)).to.have.length(resolvePrefillCount(6));
  });

  it('orders nothing where the split is right', () => {
    const roles: EngineRole[] = ['prefill', 'prefill', 'prefill', 'prefill', 'decode', 'decode'];
    expect(resolveChanges(engines(roles))).to.deep.equal([]);
  });
});

describe('the right to give orders', () => {
  function setUp(hasClock = false) {
    const fake = createFakeClock();
    const { table } = createMemoryTable(hasClock ? () => 90_000 + fake.clock.now() : undefined);
    const create = (node: string) =>
      createOrderLease({
        node,
        table,
        clock: fake.clock,
        timeOfDay: () => fake.clock.now(),
        log: createSilentLog(),
        leaseMs: LEASE_MS,
      });
    return { ...fake, create };
  }

  it('belongs to one gateway at a time', async () => {
    const { create } = setUp();
    const [a, b] = [create('a'), create('b')];
    expect(await a.acquire()).not.to.equal(undefined);
    expect(await b.acquire()).to.equal(undefined);
  });

  it('ends by itself, so that a gateway that stood still sends nothing late', async () => {
    const { create, advance } = setUp();
    const turn = await create('a').acquire();
    await advance(LEASE_MS);
    expect(turn?.isValid()).to.equal(false);
  });

  it('goes at once to a gateway that has just come, where the last turn is long over', async () => {
    const { create, advance } = setUp(true);
    const first = await create('a').acquire();
    await advance(20_000);
    const second = await create('b').acquire();
    expect(second?.fence).to.be.greaterThan(first?.fence ?? Number.POSITIVE_INFINITY);
  });

  for (const hasClock of [true, false]) {
    it(`never goes to another within the lease time, ${hasClock ? 'by the store’s clock' : 'by watching'}`, async () => {
      const { create, advance } = setUp(hasClock);
      const first = await create('a').acquire();
      while (first?.isValid() === true) await advance(50);
      for (let waitedMs = 0; waitedMs < LEASE_MS; waitedMs += 50) {
        expect(await create('b').acquire()).to.equal(undefined);
        await advance(50);
      }
    });
  }

  it('goes to another gateway only a lease time after the last order of the first', async () => {
    const { create, advance } = setUp();
    const [a, b] = [create('a'), create('b')];
    const first = await a.acquire();
    let lastValidAt = 0;
    let takenAt = 0;
    for (let at = 0; takenAt === 0; at += 100) {
      if (first?.isValid() === true) lastValidAt = at;
      const second = await b.acquire();
      if (second !== undefined) {
        takenAt = at;
        expect(second.fence).to.be.greaterThan(first?.fence ?? Number.POSITIVE_INFINITY);
      }
      await advance(100);
    }
    expect(takenAt - lastValidAt).to.be.greaterThan(LEASE_MS);
  });
});
