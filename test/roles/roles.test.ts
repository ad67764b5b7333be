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

describe('planned role changes', () => {
  it('assign engines to prefill that decode does not need, except two', () => {
    expect(resolvePrefillCount(60, 2)).to.equal(52);
    expect(resolvePrefillCount(60, 0.1)).to.equal(58);
    expect(resolvePrefillCount(6, 0.1)).to.equal(4);
  });

  it('keep a split with enough prefill and decode engines while the decode load is unknown', () => {
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

  it('leave at least one decode engine, and one prefill engine if there are two engines', () => {
    for (let count = 2; count < 60; count += 1) {
      expect(resolvePrefillCount(count)).to.be.within(1, count - 1);
    }
    expect(resolvePrefillCount(1)).to.equal(0);
  });

  it('are as many as the split lacks', () => {
    const fleet = engines(['decode', 'decode', 'decode', 'decode', 'decode', 'decode']);
    expect(resolveChanges(fleet)).to.have.length(resolvePrefillCount(6));
  });

  describe('with engines of two software versions', () => {
    function versioned(roles: readonly EngineRole[], older: number): RegisteredServer[] {
      return engines(roles).map((engine, index) => ({
        ...engine,
        version: index < older ? 'v1' : 'v2',
      }));
    }

    it('give a version with several engines one that can continue its streams', () => {
      const fleet = versioned(['prefill', 'prefill', 'prefill', 'decode', 'decode', 'prefill'], 3);
      const changes = resolveChanges(fleet, 0.1);
      expect(changes.map(({ server, role }) => [server.version, role])).to.deep.equal([
        ['v1', 'decode'],
      ]);
    });

    it('leave a version its last decode engine', () => {
      const fleet = versioned(['prefill', 'decode', 'decode', 'decode', 'decode', 'decode'], 2);
      const changes = resolveChanges(fleet, 0.1);
      expect(changes).to.have.length.above(0);
      for (const { server } of changes) expect(server.version).to.equal('v2');
      const prefill = new Set(changes.map(({ server }) => server.id));
      expect(
        fleet.filter(({ id, version }) => version === 'v2' && !prefill.has(id)),
      ).to.have.length.above(0);
    });

    it('are none for the sake of a version with one engine, or of the only version', () => {
      const single = versioned(['prefill', 'prefill', 'prefill', 'prefill', 'decode', 'decode'], 1);
      expect(resolveChanges(single)).to.deep.equal([]);
    });
  });

  it('are none if the split is as planned', () => {
    const roles: EngineRole[] = ['prefill', 'prefill', 'prefill', 'prefill', 'decode', 'decode'];
    expect(resolveChanges(engines(roles))).to.deep.equal([]);
  });
});

describe('order lease', () => {
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

  it('is held by one gateway at a time', async () => {
    const { create } = setUp();
    const [a, b] = [create('a'), create('b')];
    expect(await a.acquire()).not.to.equal(undefined);
    expect(await b.acquire()).to.equal(undefined);
  });

  it('expires, so that a paused gateway sends no late orders', async () => {
    const { create, advance } = setUp();
    const grant = await create('a').acquire();
    await advance(LEASE_MS);
    expect(grant?.isValid()).to.equal(false);
  });

  it('is granted at once to a new gateway if the last grant is long over', async () => {
    const { create, advance } = setUp(true);
    const first = await create('a').acquire();
    await advance(20_000);
    const second = await create('b').acquire();
    expect(second?.fence).to.be.greaterThan(first?.fence ?? Number.POSITIVE_INFINITY);
  });

  for (const hasClock of [true, false]) {
    it(`is not granted to another gateway within the lease time, ${hasClock ? 'by the store’s clock' : 'by observation'}`, async () => {
      const { create, advance } = setUp(hasClock);
      const first = await create('a').acquire();
      while (first?.isValid() === true) await advance(50);
      for (let waitedMs = 0; waitedMs < LEASE_MS; waitedMs += 50) {
        expect(await create('b').acquire()).to.equal(undefined);
        await advance(50);
      }
    });
  }

  it('is granted to another gateway only a lease time after the last order of the first', async () => {
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
