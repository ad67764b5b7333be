import { expect } from 'chai';
import { readState, type StoredObject } from '../../src/configuration/index.js';
import {
  createConfigurationNode,
  createObject,
  createWrite,
  smallConfiguration,
} from '../fixtures/configuration.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

function team(labels: Record<string, string>): StoredObject {
  return createObject({ kind: 'team', name: 'kumasi', labels });
}

async function setUp() {
  const { table, control } = createMemoryTable();
  const { clock, runUntil } = createFakeClock();
  const ama = createConfigurationNode({ name: 'n1', table, clock, seed: 1 });
  const yaw = createConfigurationNode({ name: 'n2', table, clock, seed: 2 });
  await ama.replica.start();
  await yaw.replica.start();
  const first = await runUntil(ama.writer.write(createWrite(smallConfiguration)));
  expect(first.unwrap().version).to.equal(4);
  return { table, control, ama, yaw, runUntil };
}

describe('configuration writer', () => {
  it('writes several objects as one transaction with consecutive versions', async () => {
    const { control, ama, table } = await setUp();
    expect(ama.replica.current().version).to.equal(4);
    expect(new Set([...control.rows.values()].map(({ revision }) => revision)).size).to.equal(1);
    expect(ama.pushed.map(({ version }) => version)).to.deep.equal([1, 2, 3, 4]);
    expect((await readState(table)).unwrap().changes).to.have.length(4);
  });

  it('tells the second of two operators what the first changed', async () => {
    const { control, ama, yaw, runUntil } = await setUp();
    control.beforeTransact = async () => {
      (await ama.writer.write(createWrite([team({ size: 'large' })]))).unwrap();
    };
    const second = createWrite([team({ size: 'tiny' })], { author: 'yaw' });
    const failure = (await runUntil(yaw.writer.write(second))).unwrapErr();
    expect(failure.code).to.equal('conflict');
    expect(failure.message).to.contain('by ama in version 5');
    expect(failure.message).to.contain('labels.size: "small" became "large"');
    const seen = [{ kind: 'team', name: 'kumasi', version: 1 }] as const;
    const late = createWrite([team({ size: 'tiny' })], { expected: [...seen] });
    const outdated = (await runUntil(yaw.writer.write(late))).unwrapErr();
    expect(outdated.message).to.contain('labels.size: "small" became "large"');
  });

  it('tries again when only the head moved', async () => {
    const { control, ama, yaw, runUntil } = await setUp();
    const other = createObject({ kind: 'class', name: 'other' });
    control.beforeTransact = async () => {
      (await ama.writer.write(createWrite([other]))).unwrap();
    };
    const accepted = await runUntil(yaw.writer.write(createWrite([team({ size: 'tiny' })])));
    expect(accepted.unwrap().version).to.equal(6);
    const counted = await yaw.metrics.retries.get();
    expect(counted.values[0]).to.deep.include({ value: 1 });
    expect(counted.values[0]?.labels).to.deep.equal({ reason: 'configuration-head-moved' });
  });

  it('settles a lost answer by reading back', async () => {
    const { control, ama, runUntil } = await setUp();
    control.disturb('unknown-after-effect');
    const accepted = await runUntil(ama.writer.write(createWrite([team({ size: 'tiny' })])));
    expect(accepted.unwrap().version).to.equal(5);
    expect(ama.replica.current().version).to.equal(5);
    expect(control.rows.has('configuration/log/000000000006')).to.be.false;
  });

  it('fences a lost write, so that it cannot land late, and writes again', async () => {
    const { control, ama, runUntil } = await setUp();
    control.disturb('late', 'unknown-without-effect');
    const accepted = await runUntil(ama.writer.write(createWrite([team({ size: 'tiny' })])));
    expect(accepted.unwrap().version).to.equal(5);
    expect(control.landLate().map(({ kind }) => kind)).to.deep.equal(['conflict']);
    expect(ama.versions).to.deep.equal([0, 4, 5]);
  });

  it('says "not accepted" only after the lost write was fenced', async () => {
    const { control, ama, runUntil, table } = await setUp();
    control.disturb('late', 'none', 'unavailable');
    const writing = ama.writer.write(createWrite([team({ size: 'tiny' })]));
    const failure = (await runUntil(writing)).unwrapErr();
    expect(failure).to.include({ code: 'table-unavailable', outcome: 'not-run' });
    expect(control.landLate().map(({ kind }) => kind)).to.deep.equal(['conflict']);
    expect((await readState(table)).unwrap().version).to.equal(4);
  });

  it('says that it does not know while the table cannot be read back', async () => {
    const { control, ama, runUntil } = await setUp();
    control.disturb('late-then-down');
    const writing = ama.writer.write(createWrite([team({ size: 'tiny' })]));
    const failure = (await runUntil(writing)).unwrapErr();
    expect(failure).to.include({ code: 'table-unknown', outcome: 'unknown' });
  });

  it('refuses while the table is down, with nothing written', async () => {
    const { control, ama, runUntil } = await setUp();
    control.disturb('unavailable');
    const failure = (
      await runUntil(ama.writer.write(createWrite([team({ size: 'tiny' })])))
    ).unwrapErr();
    expect(failure).to.include({ code: 'table-unavailable', outcome: 'not-run' });
    expect(ama.replica.current().version).to.equal(4);
  });

  it('refuses to leave a team with nowhere to go unless forced', async () => {
    const { ama, runUntil } = await setUp();
    const removals = [{ kind: 'binding', name: 'all' } as const];
    const failure = (await runUntil(ama.writer.write(createWrite([], { removals })))).unwrapErr();
    expect(failure).to.include({ code: 'invalid-configuration', field: 'team/kumasi' });
    const forced = createWrite([], { removals, force: true });
    const accepted = (await runUntil(ama.writer.write(forced))).unwrap();
    expect(accepted.version).to.equal(5);
    expect(accepted.warnings[0]?.field).to.equal('team/kumasi');
  });

  it('refuses an object that is wrong in the whole, and takes an unchanged one as done', async () => {
    const { ama, runUntil } = await setUp();
    const nothing = createObject({ kind: 'group', name: 'g', selector: {} });
    const failure = (await runUntil(ama.writer.write(createWrite([nothing])))).unwrapErr();
    expect(failure.field).to.equal('group/g.model');
    const same = (await runUntil(ama.writer.write(createWrite(smallConfiguration)))).unwrap();
    expect(same).to.deep.include({ version: 4, changed: [] });
  });
});
