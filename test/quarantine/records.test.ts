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

describe('crash records', () => {
  it('merge to the same result in any order and with duplicates', () => {
    const anyRecord = fc.record({
      fingerprint: fc.constantFrom('aaaaaaaa-1', 'aaaaaaaa-2', 'bbbbbbbb-1'),
      cleared: fc.integer({ min: 0, max: 3 }),
      crashes: fc.integer({ min: 0, max: CRASHES_TO_BAN }),
      discounted: fc.constant(0),
      at: fc.constant(0),
    });
    fc.assert(
      fc.property(fc.array(anyRecord), fc.infiniteStream(fc.nat()), (received, order) => {
        const [first, second] = [createCrashRecords(), createCrashRecords()];
        for (const record of received) first.merge(record, 0);
        const shuffled = received.map((record) => ({ record, key: order.next().value as number }));
        shuffled.sort((left, right) => left.key - right.key);
        for (const { record } of shuffled) second.merge(record, 0);
        for (const record of received) second.merge(record, 0);
        expect(second.digest()).to.equal(first.digest());
      }),
    );
  });

  it('count as changed only once', () => {
    const records = createCrashRecords();
    expect(records.merge(createRecord(), 0)).to.equal(true);
    expect(records.merge(createRecord(), 5)).to.equal(false);
    expect(records.merge(createRecord({ at: 4 }), 5)).to.equal(false);
    expect(records.merge(createRecord({ crashes: 2 }), 5)).to.equal(true);
  });

  it('stay cleared when crashes from before the clearing arrive late', () => {
    const records = createCrashRecords();
    records.merge(createRecord({ cleared: 1, crashes: 0 }), 0);
    expect(records.merge(createRecord({ crashes: 3 }), 0)).to.equal(false);
    expect(records.find('aaaaaaaa-1', 0)?.crashes).to.equal(0);
  });

  it('decay by one crash at a time, so that an expired ban allows one more attempt', () => {
    const records = createCrashRecords();
    const record = createRecord({ crashes: CRASHES_TO_BAN });
    records.merge(record, 0);
    const decayMs = resolveDecayMs(record, 0);
    expect(records.find(record.fingerprint, decayMs - 1)?.crashes).to.equal(CRASHES_TO_BAN);
    expect(records.find(record.fingerprint, decayMs)?.crashes).to.equal(CRASHES_TO_BAN - 1);
    expect(records.merge({ ...record, at: decayMs + 1 }, decayMs + 1)).to.equal(true);
    expect(records.list(10 * decayMs)).to.deep.equal([]);
    expect(records.mayContain('aaaaaaaa')).to.equal(false);
  });

  it('are bounded, and evict other records before bans', () => {
    const records = createCrashRecords();
    records.merge(createRecord({ crashes: CRASHES_TO_BAN }), 0);
    for (let index = 0; index < 5_000; index += 1) {
      records.merge(createRecord({ fingerprint: `bbbbbbbb-${index}`, at: index }), index);
    }
    expect(records.list(5_000)).to.have.length(MAX_RECORDS);
    expect(records.find('aaaaaaaa-1', 5_000)?.crashes).to.equal(CRASHES_TO_BAN);
  });
});
