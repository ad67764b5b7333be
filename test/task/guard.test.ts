import { expect } from 'chai';
import { createGuardedClock } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

describe('a guarded clock', () => {
  it('tells of a timer that throws, and goes on with the others', async () => {
    const { clock, advance } = createFakeClock();
    const failures: unknown[] = [];
    const guarded = createGuardedClock(clock, (error) => failures.push(error));
    const done: string[] = [];
    guarded.after(10, () => {
      throw new Error('no such engine');
    });
    guarded.after(20, () => done.push('next'));
    await advance(30);
    expect(failures.map(String)).to.deep.equal(['Error: no such engine']);
    expect(done).to.deep.equal(['next']);
  });
});
