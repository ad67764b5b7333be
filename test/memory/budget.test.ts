import { expect } from 'chai';
import { createMemoryBudget, resolveBudgetBytes } from '../../src/memory/index.js';

const MEGABYTE = 1_048_576;

describe('the budget of memory', () => {
  it('leaves room for small things where large ones find none', () => {
    const budget = createMemoryBudget(100 * MEGABYTE);
    const large = 4 * MEGABYTE;
    let begun = 0;
    while (budget.hasRoom(large)) {
      budget.hold({ holder: 'bodies', bytes: large });
      begun += 1;
    }
    expect(begun).to.equal(22);
    expect(budget.hasRoom(MEGABYTE)).to.equal(true);
  });

  it('counts what its holders count themselves', () => {
    const budget = createMemoryBudget(10 * MEGABYTE);
    let waiting = 0;
    budget.register('links', () => waiting);
    expect(budget.hasRoom(MEGABYTE)).to.equal(true);
    waiting = 9 * MEGABYTE;
    expect(budget.hasRoom(MEGABYTE)).to.equal(false);
    expect(budget.held().links).to.equal(waiting);
  });

  it('gets back what was held, once, however it grew', () => {
    const budget = createMemoryBudget(10 * MEGABYTE);
    const share = budget.hold({ holder: 'answers', bytes: 1 });
    share.set(20 * MEGABYTE);
    expect(budget.hasRoom(1)).to.equal(false);
    share.release();
    share.release();
    share.set(5);
    expect(budget.held().answers).to.equal(0);
    expect(budget.hasRoom(MEGABYTE)).to.equal(true);
  });

  it('is a part of what the process itself leaves of its machine, and never nothing', () => {
    expect(resolveBudgetBytes(350 * MEGABYTE, 100 * MEGABYTE)).to.equal(100 * MEGABYTE);
    expect(resolveBudgetBytes(50 * MEGABYTE, 100 * MEGABYTE)).to.be.above(0);
    expect(resolveBudgetBytes(undefined, 100 * MEGABYTE)).to.be.above(0);
  });
});
