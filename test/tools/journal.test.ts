import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { readPlayedDays } from '../../tools/journal/days.js';

describe('journal of played days', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'journal-'));
  });

  afterEach(() => {
    rmSync(folder, { recursive: true });
  });

  function write(days: readonly object[]): void {
    const entry = { id: 'e1', at: ['2026-01-01T00:00:00Z', '2026-01-01T00:01:00Z'], cmd: 'hunt' };
    writeFileSync(join(folder, 'e1.json'), JSON.stringify({ ...entry, site: 'here', days }));
  }

  function listFaults() {
    const days = readPlayedDays(folder).unwrap();
    return days.map(({ faults }) => faults);
  }

  it('takes a day for clean only without broken rules, shortfalls and a failed gate', () => {
    const clean = { name: 'day', gate: true, short: [], rules: {} };
    write([
      clean,
      { ...clean, rules: { BUDGET: 2 } },
      { ...clean, gate: false, short: ['of the largest tenth 0.28 were served, of all 0.73'] },
      { ...clean, gate: false },
      { ...clean, gate: false, short: ['fault: does not start\n  with a trace'] },
    ]);
    expect(listFaults()).to.deep.equal([
      [],
      ['BUDGET broken 2 times'],
      ['of the largest tenth 0.28 were served, of all 0.73'],
      ['the gate was not passed'],
      ['fault: does not start'],
    ]);
  });

  it('names the entry that cannot be read', () => {
    writeFileSync(join(folder, 'e2.json'), '{"id": 1}');
    const days = readPlayedDays(folder);
    expect(days.isErr() && days.error).to.contain('e2.json: id');
  });
});
