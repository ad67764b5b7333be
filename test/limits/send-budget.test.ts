import { expect } from 'chai';
import { createSendBudget } from '../../src/limits/send-budget.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const allowance = 58;
const terms = () => ({ ratio: 0.2, allowance, windowMs: 10_000 });

describe('the budget for sends beyond the first', () => {
  function spendAll(spend: () => boolean): number {
    let spent = 0;
    while (spend()) {
      spent += 1;
    }
    return spent;
  }

  it('keeps all gateways together within the allowance without requests', () => {
    const { clock } = createFakeClock();
    let total = 0;
    for (let gateway = 0; gateway < 9; gateway += 1) {
      const budget = createSendBudget(clock, terms, () => 9);
      total += spendAll(() => budget.spend('pages'));
    }
    expect(total).to.be.within(1, allowance);
  });

  it('grows with the number of requests and recovers after a window', async () => {
    const { clock, advance } = createFakeClock();
    const budget = createSendBudget(clock, terms, () => 9);
    for (let request = 0; request < 100; request += 1) {
      budget.earn('pages');
    }
    const first = spendAll(() => budget.spend('pages'));
    expect(first).to.be.within(16, 26);
    expect(budget.spend('pages')).to.equal(false);
    await advance(10_001);
    expect(budget.spend('pages')).to.equal(true);
  });
});
