import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { createRefusal } from '../../src/errors/index.js';
import { createObject, createVm } from '../fixtures/configuration.js';
import {
  createOrderBench,
  createWanted,
  orderTerms,
  withoutShardCondition,
} from '../fixtures/order-holder.js';

const prefill = createWanted('prefill');
const decode = createWanted('decode');

describe('orders to engines', () => {
  it('journals an order, sends it, and settles it after the engine has carried it out', async () => {
    const { hold, engine, row, runUntil, events } = createOrderBench(true);
    const { orders } = await hold('a');
    expect((await runUntil(orders.change('engine-1', prefill))).isOk()).to.equal(true);
    expect(engine.control.state().role).to.equal('prefill');
    expect(row().order).to.include({ state: 'settled', fence: 1, incarnation: 'start-1' });
    expect(events).to.include.members(['drainStarted', 'orderJournalled', 'orderSettled']);
    (await runUntil(orders.change('engine-1', decode))).unwrap();
    expect(row()).to.deep.include({ fence: 2 });
    expect(engine.control.received.map(({ whileBusy }) => whileBusy)).to.deep.equal([false, false]);
  });

  it('drains until no permits are out and a load report made after its start shows an idle engine', async () => {
    const { hold, engine, advance, runUntil } = createOrderBench(true);
    const { orders, status } = await hold('a');
    await advance(5_000);
    status.permitsOut = 1;
    const changed = orders.change('engine-1', prefill);
    await advance(2_000);
    expect(status.heldForOrder).to.equal(true);
    engine.control.running = 1;
    status.permitsOut = 0;
    await advance(2_000);
    engine.control.running = 0;
    engine.control.reportAgeMs = 60_000;
    await advance(2_000);
    expect(engine.control.received).to.have.length(0);
    engine.control.reportAgeMs = 100;
    (await runUntil(changed)).unwrap();
    expect(engine.control.received.map(({ running }) => running)).to.deep.equal([0]);
    expect(status.heldForOrder).to.equal(false);
  });

  it('gives a change up instead of interrupting running requests, and ends the drain', async () => {
    const { hold, engine, runUntil } = createOrderBench(true);
    const { orders, status } = await hold('a');
    engine.control.running = 1;
    const changed = await runUntil(orders.change('engine-1', prefill));
    expect(changed.unwrapErr().code).to.equal('drain-pending');
    expect(status.heldForOrder).to.equal(false);
    expect(engine.control.received).to.have.length(0);
  });

  it('waits for two report periods of the routers before a new holder relies on its tally', async () => {
    const { hold, engine, advance, runUntil } = createOrderBench(true);
    const { orders } = await hold('a');
    const changed = orders.change('engine-1', prefill);
    await advance(1_900);
    expect(engine.control.received).to.have.length(0);
    (await runUntil(changed)).unwrap();
  });

  for (const fault of ['receipt-lost', 'never-arrives'] as const) {
    it(`resends the same order after a fault: ${fault}`, async () => {
      const { hold, engine, runUntil } = createOrderBench(false);
      const { orders } = await hold('a');
      engine.control.disturb(fault);
      (await runUntil(orders.change('engine-1', prefill))).unwrap();
      expect(new Set(engine.control.received.map(({ order }) => order.orderId)).size).to.equal(1);
      expect(engine.control.taken()).to.deep.equal(['prefill:']);
    });
  }

  for (const fault of ['unknown-after-effect', 'unknown-without-effect', 'late'] as const) {
    it(`recovers from the journal after a lost table answer: ${fault}`, async () => {
      const { hold, engine, control, row, advance, runUntil } = createOrderBench(false);
      const { orders } = await hold('a');
      control.disturb(fault);
      const changed = orders.change('engine-1', prefill);
      await advance(2_100);
      control.landLate();
      (await runUntil(changed)).unwrap();
      expect(engine.control.taken()).to.deep.equal(['prefill:']);
      expect(row().order?.state).to.equal('settled');
    });
  }

  it('sends no order without a valid lease, and ends the drain meanwhile', async () => {
    const { hold, engine, control, advance, runUntil } = createOrderBench(true);
    const { orders, status } = await hold('a');
    const changed = orders.change('engine-1', prefill);
    control.down = true;
    await advance(1_000);
    status.leaseValid = false;
    await advance(5_000);
    expect(status.heldForOrder).to.equal(false);
    control.down = false;
    await advance(5_000);
    expect(engine.control.received).to.have.length(0);
    status.leaseValid = true;
    (await runUntil(changed)).unwrap();
  });

  it('restores the journalled setup of an engine that crashed during a change', async () => {
    const { hold, engine, row, advance, runUntil } = createOrderBench(false);
    const { orders } = await hold('a');
    const changed = orders.change('engine-1', prefill);
    await advance(3_000);
    expect(engine.control.state().busy).to.equal(true);
    engine.control.crash();
    (await runUntil(changed)).unwrap();
    expect(engine.control.state()).to.include({ role: 'prefill', incarnation: 'start-2' });
    engine.control.crash();
    await advance(10_000);
    expect(engine.control.state()).to.include({ role: 'prefill', incarnation: 'start-3' });
    expect(row().order).to.include({ state: 'settled', incarnation: 'start-3' });
    expect(engine.control.taken()).to.deep.equal(['prefill:']);
  });

  it('combines the changes for the planner and the groups into one order', async () => {
    const groups = [
      createObject({ kind: 'group', name: 'g', model: 'm', adapters: ['x'], selector: {} }),
    ].filter((object) => object.kind === 'group');
    const { hold, engine, advance, runUntil } = createOrderBench(true);
    const { orders } = await hold('a', { groups });
    (await runUntil(orders.change('engine-1', prefill))).unwrap();
    await advance(10_000);
    expect(engine.control.taken()).to.deep.equal(['prefill:x']);
  });

  it('loads adapters that a group lacks, with one weight store ticket per load', async () => {
    const groups = [
      createObject({ kind: 'group', name: 'g', model: 'm', adapters: ['x', 'y'], selector: {} }),
    ].filter((object) => object.kind === 'group');
    const requested: string[] = [];
    const failure = createRefusal({
      code: 'rate-limited',
      message: 'later',
      step: 'load.pace',
      peer: 'weights',
      retryAfterMs: 8_000,
    });
    const weightStore = {
      requestTicket: (name: string) => {
        requested.push(name);
        return Promise.resolve(requested.length === 2 ? Err(failure) : Ok('ticket'));
      },
    };
    const { hold, engine, advance } = createOrderBench(true);
    const { status } = await hold('a', { groups, weightStore });
    await advance(4_000);
    expect(requested).to.deep.equal(['x', 'y']);
    expect(status.heldForOrder).to.equal(false);
    await advance(12_000);
    expect(requested).to.deep.equal(['x', 'y', 'y']);
    expect(engine.control.state()).to.deep.include({ role: 'mixed', adapters: ['x', 'y'] });
    await advance(10_000);
    expect(engine.control.received).to.have.length(1);
  });
});

/** Holder `a` sends an order that stays in flight, as if paused between lease check and write. */
async function leaveOrderInFlight(checksFence: boolean, setting = {}) {
  const bench = createOrderBench(checksFence);
  const a = await bench.hold('a', setting);
  bench.engine.control.disturb('sender-paused');
  void a.orders.change('engine-1', prefill);
  await bench.advance(2_100);
  a.status.leaseValid = false;
  a.status.paused = true;
  expect(bench.row().order).to.include({ state: 'outstanding', fence: 1 });
  return { ...bench, a };
}

describe('the successor of a paused holder', () => {
  for (const checksFence of [true, false]) {
    const kind = checksFence ? 'checks' : 'ignores';

    it(`completes the same order first, on an engine that ${kind} fencing numbers`, async () => {
      const { hold, engine, row, advance } = await leaveOrderInFlight(checksFence);
      const b = await hold('b');
      expect(b.status.heldForOrder).to.equal(true);
      await advance(10_000);
      expect(row().order).to.include({ state: 'settled', fence: 1 });
      engine.control.deliverLate();
      const results = engine.control.received.map(({ result }) => result);
      expect(results).to.deep.equal(['taken', 'duplicate']);
      expect(b.status.heldForOrder).to.equal(false);
    });

    it(`sends no conflicting order when an engine that ${kind} fencing numbers crashes as well`, async () => {
      const { hold, engine, advance } = await leaveOrderInFlight(checksFence);
      await hold('b');
      await advance(10_000);
      engine.control.crash();
      engine.control.deliverLate();
      await advance(10_000);
      expect(engine.control.taken()).to.deep.equal(['prefill:']);
      expect(engine.control.state().role).to.equal('prefill');
    });
  }

  it('sends a different order to an engine that checks fencing numbers, which refuses the late one', async () => {
    const { hold, engine, runUntil } = await leaveOrderInFlight(true);
    const { orders } = await hold('b');
    (await runUntil(orders.change('engine-1', decode))).unwrap();
    engine.control.crash();
    await runUntil(orders.change('engine-1', createWanted('mixed')));
    engine.control.deliverLate();
    expect(engine.control.received.at(-1)).to.include({ result: 'stale-fence' });
  });

  it('withholds a different order from an engine that ignores fencing numbers', async () => {
    const { hold, engine, events, runUntil, advance } = await leaveOrderInFlight(false);
    const b = await hold('b');
    const changed = await runUntil(b.orders.change('engine-1', decode));
    expect(changed.unwrapErr().code).to.equal('order-refused');
    expect(events).to.include('ordersWithheld');
    expect(b.status.heldForOrder).to.equal(false);
    engine.control.crash();
    engine.control.deliverLate();
    await advance(10_000);
    expect(engine.control.taken()).to.deep.equal(['prefill:']);
  });

  it('control: without the rule on former holders the engine gets conflicting orders', async () => {
    const { hold, engine, runUntil } = await leaveOrderInFlight(false);
    const formers = {
      isCleared: () => Promise.resolve(true),
      trackSend: <Value>(_engine: string, send: () => Promise<Value>) => send(),
    };
    const { orders } = await hold('b', { formers });
    (await runUntil(orders.change('engine-1', decode))).unwrap();
    engine.control.crash();
    engine.control.deliverLate();
    expect(engine.control.taken()).to.deep.equal(['prefill:', 'decode:', 'prefill:']);
  });

  for (const broken of [false, true]) {
    const name = broken
      ? 'control: a former holder can order without'
      : 'prevents orders of a former holder by';
    it(`${name} the condition on the shard's row`, async () => {
      const bench = createOrderBench(false);
      const { hold, table, engine, advance, row, runUntil } = bench;
      const a = await hold('a', broken ? { table: withoutShardCondition(table) } : {});
      (await runUntil(a.orders.change('engine-1', prefill))).unwrap();
      await hold('b', { ordersSettled: () => 1 });
      // `a` still considers its lease valid, as if paused just after the check.
      void a.orders.change('engine-1', decode);
      await advance(10_000);
      expect(engine.control.taken()).to.have.length(broken ? 2 : 1);
      expect(row().order?.wanted.role).to.equal(broken ? 'decode' : 'prefill');
    });
  }

  const proofs = {
    'a clean release': async (bench: Bench) => {
      await bench.writeNode(bench.a.holder, 'released');
    },
    'a newer process at the same peer address': async (bench: Bench) => {
      const newer = { ...bench.a.holder, incarnation: 'a-2', leaseId: 'a-lease-x' };
      await bench.writeNode(newer, 'held');
    },
    "an operator's confirmation": (bench: Bench) => {
      bench.operator.fence = 1;
      return Promise.resolve();
    },
    'the removal of its VM from a list read after the lag': async (bench: Bench) => {
      const { a, b, advance, platform } = bench;
      const former = { holder: a.holder, fence: 1 };
      const listed = [createVm({ id: 'vm-a', kind: 'entry', address: a.holder.peer })];
      b.formers.updateVmList(listed);
      await advance(60_000);
      b.formers.updateVmList([]);
      await advance(29_000);
      expect(await b.formers.isCleared('engine-1', former)).to.equal(false);
      await advance(2_000);
      platform.vms = listed;
      expect(await b.formers.isCleared('engine-1', former)).to.equal(false);
      platform.vms = [];
    },
  };

  for (const [name, prove] of Object.entries(proofs)) {
    it(`sends a different order to an engine that ignores fencing numbers after ${name}`, async () => {
      const bench = await setUpProof();
      const { b, engine, row, runUntil, advance } = bench;
      const refused = await runUntil(b.orders.change('engine-1', decode));
      expect(refused.isErr()).to.equal(true);
      await prove(bench);
      await advance(orderTerms.tryAgainMs + 1_000);
      (await runUntil(b.orders.change('engine-1', decode))).unwrap();
      expect(engine.control.taken()).to.deep.equal(['prefill:', 'decode:']);
      expect(row().formers).to.deep.equal([]);
    });
  }

  it('rarely reads the table while no step depends on the proof', async () => {
    const { advance, control } = await setUpProof();
    await advance(10_000);
    const before = control.reads;
    await advance(600_000);
    expect(control.reads - before).to.be.within(1, 10);
  });

  it('accepts neither a lapsed lease nor a wildcard address as a proof', async () => {
    const bench = await setUpProof('0.0.0.0:7000');
    const { a, b, runUntil, writeNode, advance } = bench;
    await writeNode(a.holder, 'lapsed');
    (await runUntil(b.orders.change('engine-1', decode))).unwrapErr();
    await writeNode({ ...a.holder, incarnation: 'a-2', leaseId: 'x' }, 'held');
    await advance(6_000);
    (await runUntil(b.orders.change('engine-1', decode))).unwrapErr();
  });
});

type Bench = Awaited<ReturnType<typeof setUpProof>>;

async function setUpProof(peer = '10.0.0.9:7000') {
  const bench = await leaveOrderInFlight(false, { peer });
  const operator = { fence: 0 };
  const b = await bench.hold('b', { ordersSettled: () => operator.fence });
  return { ...bench, b, operator };
}
