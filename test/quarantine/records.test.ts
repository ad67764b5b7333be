import { expect } from 'chai';
import fc from 'fast-check';
import {
  createCrashRecords,
  CRASHES_TO_BAN,
  MAX_RECORDS,
  resolveDecayMs,
  type CrashRecord,
} from '../../src/quarantine/index.js';

function createRecord(more: Partial<CrashRecord> = {}): CrashRecord {
  return { fingerprint: 'aaaaaaaa-1', cleared: 0, crashes: 1, discounted: 0, at: 0, ...more };
}

describe('records of servers that ended under requests', () => {
  it('come to the same in whichever order and however often they are heard', () => {
    const drawn = fc.record({
      fingerprint: fc.constantFrom('aaaaaaaa-1', 'aaaaaaaa-2', 'bbbbbbbb-1'),
      cleared: fc.integer({ min: 0, max: 3 }),
      crashes: fc.integer({ min: 0, max: CRASHES_TO_BAN }),
      discounted: fc.constant(0),
      at: fc.constant(0),
    });
    fc.assert(
      fc.property(fc.array(drawn), fc.infiniteStream(fc.nat()), (heard, order) => {
        const [first, second] = [createCrashRecords(), createCrashRecords()];
        for (const record of heard) first.merge(record, 0);
        const shuffled = heard.map((record) => ({ record, key: order.next().value as number }));
        shuffled.sort((left, right) => left.key - right.key);
        for (const { record } of shuffled) second.merge(record, 0);
        for (const record of heard) second.merge(record, 0);
        expect(second.digest()).to.equal(first.digest());
      }),
    );
  });

  it('are news once', () => {
    const records = createCrashRecords();
    expect(records.merge(createRecord(), 0)).to.equal(true);
    expect(records.merge(createRecord(), 5)).to.equal(false);
    expect(records.merge(createRecord({ at: 4 }), 5)).to.equal(false);
    expect(records.merge(createRecord({ crashes: 2 }), 5)).to.equal(true);
  });

  it('hold no more once they were cleared, however many crashes come late', () => {
    const records = createCrashRecords();
    records.merge(createRecord({ cleared: 1, crashes: 0 }), 0);
    expect(records.merge(createRecord({ crashes: 3 }), 0)).to.equal(false);
    expect(records.find('aaaaaaaa-1', 0)?.crashes).to.equal(0);
  });

  it('fade one by one, so that a ban ends with one more trial', () => {
    const records = createCrashRecords();
    const record = createRecord({ crashes: CRASHES_TO_BAN });
    records.merge(record, 0);
    const fadeMs = resolveDecayMs(record, 0);
    expect(records.find(record.fingerprint, fadeMs - 1)?.crashes).to.equal(CRASHES_TO_BAN);
    expect(records.find(record.fingerprint, fadeMs)?.crashes).to.equal(CRASHES_TO_BAN - 1);
    expect(records.merge({ ...record, at: fadeMs + 1 }, fadeMs + 1)).to.equal(true);
    expect(records.list(10 * fadeMs)).to.deep.equal([]);
    expect(records.mayContain('aaaaaaaa')).to.equal(false);
  });

  it('are bounded, and bans stay while others go', () => {
    const records = createCrashRecords();
    records.merge(createRecord({ crashes: CRASHES_TO_BAN }), 0);
    for (let index = 0; index < 5_000; index += 1) {
      records.merge(createRecord({ fingerprint: `bbbbbbbb-${index}`, at: index }), index);
    }
    expect(records.list(5_000)).to.have.length(MAX_RECORDS);
    expect(records.find('aaaaaaaa-1', 5_000)?.crashes).to.equal(CRASHES_TO_BAN);
  });
});
