import { expect } from 'chai';
import fc from 'fast-check';
import {
  applyChange,
  applyChanges,
  emptySnapshot,
  selectNext,
  type Change,
} from '../../src/configuration/index.js';
import {
  createConfigurationNode,
  createObject,
  createWrite,
  smallConfiguration,
} from '../fixtures/configuration.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

function changeOf(version: number): Change {
  const name = `t${version % 3}`;
  const removed = version % 5 === 0;
  const labels = { version: String(version) };
  const object = removed ? null : createObject({ kind: 'team', name, labels });
  return { version, kind: 'team', name, object, author: 'ama', attempt: String(version) };
}

const log = Array.from({ length: 12 }, (_, index) => changeOf(index + 1));

function setUp() {
  const { table, control } = createMemoryTable();
  const { clock, advance, runUntil } = createFakeClock();
  const writing = createConfigurationNode({ name: 'n1', table, clock });
  const following = createConfigurationNode({
    name: 'n2',
    table,
    clock,
    seed: 2,
    fetch: (after) => Promise.resolve(writing.replica.changesAfter(after)),
  });
  return { table, control, clock, advance, runUntil, writing, following };
}

describe('configuration replica', () => {
  it('moves only forward and without gaps, however changes arrive', () => {
    const arrivals = fc.array(fc.array(fc.constantFrom(...log), { maxLength: 5 }));
    fc.assert(
      fc.property(arrivals, (batches) => {
        let snapshot = emptySnapshot;
        for (const batch of batches) {
          const next = selectNext(snapshot.version, batch);
          snapshot = applyChanges(snapshot, next);
          const expected = log.slice(0, snapshot.version).reduce(applyChange, emptySnapshot);
          expect(snapshot).to.deep.equal(expected);
        }
      }),
    );
  });

  it('follows the head of the table, one read a poll', async () => {
    const { control, advance, runUntil, writing, following } = setUp();
    await writing.replica.start();
    await following.replica.start();
    expect(following.replica.isFresh()).to.be.true;
    (await runUntil(writing.writer.write(createWrite(smallConfiguration)))).unwrap();
    await advance(1_500);
    expect(following.replica.current().version).to.equal(4);
    const before = control.reads;
    writing.replica.stop();
    await advance(5_000);
    expect(control.reads - before).to.be.within(4, 6);
  });

  it('fills a gap from a peer, passes new changes on once and ignores old ones', async () => {
    const { runUntil, writing, following } = setUp();
    await writing.replica.start();
    await following.replica.start();
    (await runUntil(writing.writer.write(createWrite(smallConfiguration)))).unwrap();
    following.replica.receive(writing.pushed.slice(3));
    await settle();
    expect(following.replica.current().version).to.equal(4);
    following.replica.receive(writing.pushed.slice(0, 2));
    await settle();
    expect(following.versions).to.deep.equal([0, 4]);
    expect(following.pushed.map(({ version }) => version)).to.deep.equal([1, 2, 3, 4]);
  });

  it('catches up when a message carries a newer version', async () => {
    const { control, runUntil, writing, following } = setUp();
    await writing.replica.start();
    await following.replica.start();
    (await runUntil(writing.writer.write(createWrite(smallConfiguration)))).unwrap();
    control.down = true;
    expect(await runUntil(following.replica.caughtUp(4))).to.be.true;
    following.replica.versionReceived(9);
    expect(await runUntil(following.replica.caughtUp(9))).to.be.false;
    expect(following.replica.current().version).to.equal(4);
  });

  it('starts from a peer while the table is down', async () => {
    const { control, runUntil, writing, following } = setUp();
    await writing.replica.start();
    (await runUntil(writing.writer.write(createWrite(smallConfiguration)))).unwrap();
    const removal = createWrite([], { removals: [{ kind: 'team', name: 'kumasi' }] });
    (await runUntil(writing.writer.write(removal))).unwrap();
    control.down = true;
    await following.replica.start();
    expect(following.replica.isFresh()).to.be.true;
    expect(following.replica.current()).to.deep.equal(writing.replica.current());
  });

  it('starts from the whole state of a peer that no longer has the log', async () => {
    const { table, control, clock, advance, runUntil, writing, following } = setUp();
    await writing.replica.start();
    (await runUntil(writing.writer.write(createWrite(smallConfiguration)))).unwrap();
    const fetch = () => Promise.resolve(following.replica.changesAfter(0));
    await following.replica.start();
    expect(following.replica.changesAfter(0)).to.include({ compacted: true, newest: 4 });
    control.down = true;
    const third = createConfigurationNode({ name: 'n3', table, clock, fetch });
    await third.replica.start();
    expect(third.replica.current()).to.deep.equal(writing.replica.current());
    await advance(2_000);
    expect(third.versions).to.deep.equal([4]);
  });

  it('is stale before the first configuration and after the bound without any word', async () => {
    const { control, advance, writing } = setUp();
    control.down = true;
    await writing.replica.start();
    expect(writing.replica.isFresh()).to.be.false;
    control.down = false;
    await advance(1_500);
    expect(writing.replica.isFresh()).to.be.true;
    control.down = true;
    await advance(62_000);
    expect(writing.replica.isFresh()).to.be.false;
    control.down = false;
    await advance(1_500);
    expect(writing.replica.isFresh()).to.be.true;
  });
});
