import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { createUnknownOutcome, createRefusal } from '../../src/errors/index.js';
import { createSilentLog } from '../../src/events/index.js';
import { resolveEra, resolvePosition } from '../../src/ports/position.js';
import type { Row, TableService, Transaction } from '../../src/ports/index.js';
import { createOrderLease, type OrderLease, type OrderGrant } from '../../src/roles/index.js';
import { createSeededRandom, type Clock } from '../../src/task/index.js';

const HISTORIES = 3_000;
const STEPS = 150;
const STEP_MS = 250;
const GATEWAYS = 4;
const LEASE_MS = 3_000;
/** Minimum time between the orders of two holders. */
const MIN_GAP_MS = LEASE_MS;

const detail = { message: 'cut off', step: 'configuration.transact', peer: 'table' } as const;
const cut = createRefusal({ ...detail, code: 'table-unavailable' });
const unknownOutcome = createUnknownOutcome({ ...detail, code: 'table-unknown' });

/** A table that can be restored from backups. */
function createTable() {
  const state = { era: 1, revision: 0, rows: new Map<string, Row>() };
  let backups: { revision: number; rows: Map<string, Row> }[] = [];

  return {
    state,
    backUp() {
      backups = [...backups.slice(-20), { revision: state.revision, rows: new Map(state.rows) }];
    },
    restore(age: number) {
      const backup = backups.at(-1 - age) ?? { revision: 0, rows: new Map<string, Row>() };
      state.era += 1;
      state.revision = backup.revision;
      state.rows = new Map(backup.rows);
    },
  };
}

/** A gateway's connection to the table; like the platform's adapter, it knows the newest era that it has seen. */
function createConnection(table: ReturnType<typeof createTable>, readClock: () => number) {
  const { state } = table;
  const connection = { seen: 0, isCut: false };

  /** The row with the position that it has in the current era. */
  function toRow(row: Row): Row {
    const revision = resolvePosition(state.era, row.revision);
    return { ...row, revision, readAtMs: readClock() };
  }

  function conflictsOf({ conditions }: Transaction): string[] {
    const found: string[] = [];
    for (const { key, revision } of conditions) {
      const now = state.rows.get(key);
      const current = now === undefined ? 0 : resolvePosition(state.era, now.revision);
      const isOutdated = revision > 0 && resolveEra(revision) !== connection.seen;
      if (isOutdated || current !== revision) found.push(key);
    }
    return found;
  }

  const service: TableService = {
    era: () => connection.seen,
    get(key) {
      if (connection.isCut) return Promise.resolve(Err(cut));
      connection.seen = Math.max(connection.seen, state.era);
      const row = state.rows.get(key);
      return Promise.resolve(Ok(row === undefined ? undefined : toRow(row)));
    },
    range: () => Promise.resolve(Ok([])),
    transact(transaction) {
      if (connection.isCut) return Promise.resolve({ kind: 'unavailable', failure: cut });
      const before = connection.seen;
      const conflicts = conflictsOf(transaction);
      connection.seen = Math.max(connection.seen, state.era);
      if (conflicts.length > 0) return Promise.resolve({ kind: 'conflict', conflicts });
      state.revision += 1;
      for (const { key, value } of transaction.puts) {
        state.rows.set(key, { key, revision: state.revision, value });
      }
      if (before !== state.era)
        return Promise.resolve({ kind: 'unknown', failure: unknownOutcome });
      const revision = resolvePosition(state.era, state.revision);
      return Promise.resolve({ kind: 'committed', revision });
    },
  };
  return { connection, service };
}

interface Gateway {
  node: string;
  lease: OrderLease;
  connection: { seen: number; isCut: boolean };
  /** Time for which its VM was suspended, in ms; its steady clock does not count it. */
  suspendedMs: number;
  isSuspended: boolean;
  grant: OrderGrant | undefined;
}

describe('order lease with restored stores and suspended VMs', () => {
  it(`has one holder at a time and increasing fences in ${HISTORIES} random histories`, async function () {
    this.timeout(120_000);
    let orders = 0;
    let restores = 0;
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const result = await run(seed);
      orders += result.orders;
      restores += result.restores;
    }
    // with fewer orders or restores the histories would show nothing
    expect(orders).to.be.above(20 * HISTORIES);
    expect(restores).to.be.above(HISTORIES);
  });

  async function run(seed: number): Promise<{ orders: number; restores: number }> {
    const random = createSeededRandom(seed);
    const table = createTable();
    const time = { now: 10_000 };
    const gateways: Gateway[] = [];
    for (let index = 0; index < GATEWAYS; index += 1) gateways.push(start(index, 0));
    let last: { node: string; at: number; fence: number } | undefined;
    let count = 0;
    let restores = 0;

    function start(index: number, startedAtStep: number): Gateway {
      const node = `gateway-${index}/${startedAtStep}`;
      const { connection, service } = createConnection(table, () => time.now);
      const gateway = {
        node,
        connection,
        suspendedMs: 0,
        isSuspended: false,
        grant: undefined,
      } as unknown as Gateway;
      const clock: Clock = {
        now: () => time.now - gateway.suspendedMs,
        after: () => ({ cancel: () => undefined }),
      };
      gateway.lease = createOrderLease({
        node,
        table: service,
        clock,
        timeOfDay: () => time.now,
        log: createSilentLog(),
        leaseMs: LEASE_MS,
      });
      return gateway;
    }

    for (let step = 0; step < STEPS; step += 1) {
      time.now += STEP_MS;
      table.backUp();
      if (random.next() < 0.02) {
        table.restore(Math.floor(random.next() * 20));
        restores += 1;
      }
      for (const [index, gateway] of gateways.entries()) {
        if (random.next() < 0.01) gateways[index] = start(index, step);
        if (random.next() < 0.03) gateway.connection.isCut = !gateway.connection.isCut;
        if (random.next() < 0.03) gateway.isSuspended = !gateway.isSuspended;
        if (gateway.isSuspended) {
          gateway.suspendedMs += STEP_MS;
          continue;
        }
        // the scheduling gateway acquires the lease; at times gateways disagree on which one that is
        const isAcquiring = index === Math.floor(step / 40) % GATEWAYS || random.next() < 0.05;
        if (isAcquiring && gateways[index] === gateway)
          gateway.grant = await gateway.lease.acquire();
        if (gateway.grant?.isValid() !== true) continue;
        const { node, grant } = gateway;
        const label = `seed ${seed} at ${time.now}: ${node} after ${last?.node ?? 'nobody'}`;
        if (last !== undefined && last.node !== node) {
          expect(time.now - last.at, label).to.be.at.least(MIN_GAP_MS);
          expect(grant.fence, label).to.be.above(last.fence);
        }
        if (last !== undefined) expect(grant.fence, label).to.be.at.least(last.fence);
        last = { node, at: time.now, fence: grant.fence };
        count += 1;
      }
    }
    return { orders: count, restores };
  }
});
