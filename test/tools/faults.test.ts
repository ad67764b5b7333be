import { expect } from 'chai';
import { runCell, type Cell } from '../../tools/faults/cell.js';
import { controls, runControl } from '../../tools/faults/controls.js';

const cell: Cell = { step: 'engine.stream', fault: 'kill' };

describe('fault matrix', () => {
  it('repeats a run from its seed', async () => {
    const first = await runCell([cell], 11);
    const second = await runCell([cell], 11);
    const other = await runCell([cell], 12);
    expect(second).to.deep.equal(first);
    expect(other.checks).to.not.deep.equal(first.checks);
  }).timeout(30_000);

  it('finds a key that ran twice when claims are off', async () => {
    const [control] = controls.filter(({ off }) => off === 'claims');
    if (control === undefined) throw new Error('there is no such control');
    expect((await runControl(control, 1)).found?.point).to.equal('at most once');
  }).timeout(30_000);
});
