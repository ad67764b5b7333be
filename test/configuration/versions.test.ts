import { Packr } from 'msgpackr';
import { expect } from 'chai';
import { changeSchema, storedObjectSchema, type Change } from '../../src/configuration/index.js';
import { decodeFrame, encodeFrame, type Frame } from '../../src/links/index.js';
import { createSystemClock } from '../../src/task/index.js';
import { createConfigurationNode } from '../fixtures/configuration.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

/** A team as a newer version stores it. */
const newerTeam = {
  kind: 'team',
  name: 'kumasi',
  labels: { desk: 'workshop' },
  tier: 'gold',
  limits: { concurrency: 4, burst: { requests: 9 } },
};
const newerChange = {
  version: 1,
  kind: 'team',
  name: 'kumasi',
  object: newerTeam,
  author: 'ama',
  attempt: 'a',
  reason: 'a field that a newer version added',
};

function readChange(): Change {
  return changeSchema.parse(newerChange);
}

describe('two versions side by side', () => {
  it('an older node reads objects of a newer one, checks what it knows and keeps the rest', () => {
    const { object } = readChange();
    expect(object).to.deep.include({ weight: 1, tier: 'gold' });
    expect(object).to.have.deep.property('limits', newerTeam.limits);
    const wrong = { ...newerChange, object: { ...newerTeam, weight: -1 } };
    expect(changeSchema.safeParse(wrong).success).to.equal(false);
  });

  it('operators are still told of keys that do not exist', () => {
    const parsed = storedObjectSchema.safeParse(newerTeam);
    const keys: string[] = [];
    for (const issue of parsed.error?.issues ?? []) {
      if (issue.code === 'unrecognized_keys') keys.push(...issue.keys);
    }
    expect(keys).to.have.members(['burst', 'tier']);
  });

  it('an older node passes on what it does not know', async () => {
    const { table } = createMemoryTable();
    const node = createConfigurationNode({ name: 'n1', table, clock: createSystemClock() });
    await node.replica.start();
    node.replica.receive([readChange()]);
    expect(node.pushed[0]?.object).to.deep.include({ tier: 'gold' });
    expect(node.replica.changesAfter(0).changes[0]?.object).to.deep.include({ tier: 'gold' });
    node.replica.stop();
  });

  it('an older node reads a table that a newer one wrote', async () => {
    const { table } = createMemoryTable();
    const clock = createSystemClock();
    const newer = createConfigurationNode({ name: 'n1', table, clock });
    await newer.replica.start();
    const { object } = readChange();
    if (object === null) throw new Error('expected an object');
    const request = { objects: [object], removals: [], author: 'ama', force: true };
    expect((await newer.writer.write(request)).isOk()).to.equal(true);

    const older = createConfigurationNode({ name: 'n2', table, clock });
    await older.replica.start();
    expect(older.replica.current().teams.get('kumasi')).to.deep.include({ tier: 'gold' });
    newer.replica.stop();
    older.replica.stop();
  });

  it('messages may have more fields, and failures newer codes and steps', () => {
    const failure = {
      code: 'too-curious',
      step: 'request.guess',
      message: 'of a newer version',
      outcome: 'not-run',
      peer: 'n2',
      hint: 'more',
    };
    const answer = { kind: 'permit.refused', failure, more: 1 };
    const bytes = new Packr({ useRecords: false }).pack({ type: 'answer', id: 1, answer, more: 2 });
    const read = decodeFrame(bytes) as Extract<Frame, { type: 'answer' }>;
    expect(read.answer).to.have.deep.property('failure', {
      ...{ code: 'internal', step: 'link.call', message: 'of a newer version' },
      ...{ outcome: 'not-run', peer: 'n2' },
    });
    const push = { kind: 'configuration.push' as const, changes: [readChange()] };
    const frame: Frame = { type: 'notice', notice: push };
    expect(decodeFrame(encodeFrame(frame))).to.deep.equal(frame);
  });
});
