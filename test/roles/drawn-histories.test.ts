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
/** Orders of two holders lie at least so far apart. */
const APART_MS = LEASE_MS;

const detail = { message: 'cut off', step: 'configuration.transact', peer: 'table' } as const;
const cut = createRefusal({ ...detail, code: 'table-unavailable' });
const doubt = createUnknownOutcome({ ...detail, code: 'table-unknown' });

/** One table, which is restored from copies. */
function createTable() {
  const state = { era: 1, revision: 0, rows: new Map<string, Row>() };
  let copies: { revision: number; rows: Map<string, Row> }[] = [];

  return {
    state,
    keepCopy() {
      copies = [...copies.slice(-20), { revision: state.revision, rows: new Map(state.rows) }];
    },
    restore(age: number) {
      const copy = copies.at(-1 - age) ?? { revision: 0, rows: new Map<string, Row>() };
      state.era += 1;
      state.revision = copy.revision;
      state.rows = new Map(copy.rows);
    },
  };
}

/** One gateway's way to the table, as the platform's adapter has it: it knows the newest era that it was told. */
function createWay(table: ReturnType<typeof createTable>, readClock: () => number) {
  const { state } = table;
  const way = { seen: 0, isCut: false };

  /** The row as it is in the era that it was read in. */
  function toRow(row: Row): Row {
    const revision = resolvePosition(state.era, row.revision);
    return { ...row, revision, readAtMs: readClock() };
  }

  function conflictsOf({ conditions }: Transaction): string[] {
    const found: string[] = [];
    for (const { key, revision } of conditions) {
      const now = state.rows.get(key);
      const current = now === undefined ? 0 : resolvePosition(state.era, now.revision);
      const isOutdated = revision > 0 && resolveEra(revision) !== way.seen;
      if (isOutdated || current !== revision) found.push(key);
    }
    return found;
  }

  const service: TableService = {
    era: () => way.seen,
    get(key) {
      if (way.isCut) return Promise.resolve(Err(cut));
      way.seen = Math.max(way.seen, state.era);
      const row = state.rows.get(key);
      return Promise.resolve(Ok(row === undefined ? undefined : toRow(row)));
    },
    range: () => Promise.resolve(Ok([])),
    transact(transaction) {
      if (way.isCut) return Promise.resolve({ kind: 'unavailable', failure: cut });
      const before = way.seen;
      const conflicts = conflictsOf(transaction);
      way.seen = Math.max(way.seen, state.era);
      if (conflicts.length > 0) return Promise.resolve({ kind: 'conflict', conflicts });
      state.revision += 1;
      for (const { key, value } of transaction.puts) {
        state.rows.set(key, { key, revision: state.revision, value });
      }
      if (before !== state.era) return Promise.resolve({ kind: 'unknown', failure: doubt });
      const revision = resolvePosition(state.era, state.revision);
      return Promise.resolve({ kind: 'committed', revision });
    },
  };
  return { way, service };
}

interface Gateway {
  node: string;
  lease: OrderLease;
  way: { seen: number; isCut: boolean };
  /** Time that its steady clock has not counted, in ms. */
  suspendedMs: number;
  isAway: boolean;
  turn: OrderGrant | undefined;
}

describe('the right to give orders over a store that is restored and VMs that are suspended', () => {
  it(`is one gateway's at a time, and fences only grow, in ${HISTORIES} drawn histories`, async function () {
    this.timeout(120_000);
    let orders = 0;
    let restores = 0;
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const played = await play(seed);
      orders += played.orders;
      restores += played.restores;
    }
    // the histories have to put the promise to the test
    expect(orders).to.be.above(20 * HISTORIES);
    expect(restores).to.be.above(HISTORIES);
  });

  async function play(seed: number): Promise<{ orders: number; restores: number }> {
    const random = createSeededRandom(seed);
    const table = createTable();
    const time = { now: 10_000 };
    const gateways: Gateway[] = [];
    for (let index = 0; index < GATEWAYS; index += 1) gateways.push(start(index, 0));
    let last: { node: string; at: number; fence: number } | undefined;
    let count = 0;
    let restores = 0;

    function start(index: number, life: number): Gateway {
      const node = `gateway-${index}/${life}`;
      const { way, service } = createWay(table, () => time.now);
      const gateway = {
        node,
        way,
        suspendedMs: 0,
        isAway: false,
        turn: undefined,
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
      table.keepCopy();
      if (random.next() < 0.02) {
        table.restore(Math.floor(random.next() * 20));
        restores += 1;
      }
      for (const [index, gateway] of gateways.entries()) {
        if (random.next() < 0.01) gateways[index] = start(index, step);
        if (random.next() < 0.03) gateway.way.isCut = !gateway.way.isCut;
        if (random.next() < 0.03) gateway.isAway = !gateway.isAway;
        if (gateway.isAway) {
          gateway.suspendedMs += STEP_MS;
          continue;
        }
        // the one that schedules asks; now and then gateways differ on who that is
        const isAsking = index === Math.floor(step / 40) % GATEWAYS || random.next() < 0.05;
        if (isAsking && gateways[index] === gateway) gateway.turn = await gateway.lease.acquire();
        if (gateway.turn?.isValid() !== true) continue;
        const { node, turn } = gateway;
        const label = `seed ${seed} at ${time.now}: ${node} after ${last?.node ?? 'nobody'}`;
        if (last !== undefined && last.node !== node) {
          expect(time.now - last.at, label).to.be.at.least(APART_MS);
          expect(turn.fence, label).to.be.above(last.fence);
        }
        if (last !== undefined) expect(turn.fence, label).to.be.at.least(last.fence);
        last = { node, at: time.now, fence: turn.fence };
        count += 1;
      }
    }
    return { orders: count, restores };
  }
});
