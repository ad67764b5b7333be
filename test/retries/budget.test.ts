import { expect } from 'chai';
import { createRetryBudget, type RetryBudget } from '../../src/retries/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const ALLOWANCE = 58;
const WINDOW_MS = 10_000;
const GATEWAYS = 9;
const bound = () => ({ ratio: 0.2, allowance: ALLOWANCE, windowMs: WINDOW_MS });

describe('the retry budget of a gateway', () => {
  function createCase(count = GATEWAYS) {
    const { clock, advance } = createFakeClock();
    const state: { gateways: number | undefined } = { gateways: count };
    const create = () => createRetryBudget(clock, bound, () => state.gateways);
    return { create, advance, state, budget: create() };
  }

  function receive(budget: RetryBudget, requests: number): void {
    for (let request = 0; request < requests; request += 1) {
      budget.requestReceived('pages');
    }
  }

  function takeAll(budget: RetryBudget): number {
    let taken = 0;
    while (budget.take('pages') !== undefined) taken += 1;
    return taken;
  }

  it('keeps all gateways together within the allowance without requests', async () => {
    const { create, advance } = createCase();
    const budgets = Array.from({ length: GATEWAYS }, create);
    takeEach();
    await advance(5 * WINDOW_MS);
    let total = takeEach();
    for (let passed = 0; passed < WINDOW_MS; passed += 100) {
      await advance(100);
      total += takeEach();
    }
    expect(total).to.be.within(1, ALLOWANCE);

    function takeEach(): number {
      return budgets.reduce((sum, budget) => sum + takeAll(budget), 0);
    }
  });

  it('grows with the number of requests and recovers after a window', async () => {
    const { budget, advance } = createCase();
    takeAll(budget);
    await advance(WINDOW_MS);
    receive(budget, 100);
    expect(takeAll(budget)).to.be.within(16, 26);
    expect(budget.hasLeft('pages')).to.equal(false);
    await advance(WINDOW_MS + 1);
    expect(budget.hasLeft('pages')).to.equal(true);
  });

  it('is empty at the start, so that starting a process again gains nothing', async () => {
    const { create, advance } = createCase(1);
    let total = 0;
    for (let start = 0; start < 100; start += 1) {
      const budget = create();
      total += takeAll(budget);
      await advance(WINDOW_MS / 100);
      total += takeAll(budget);
    }
    expect(total).to.be.within(0, ALLOWANCE);
  });

  it('lets the allowance accrue once the number of gateways is known, for the time before as well', async () => {
    const { budget, advance, state } = createCase();
    state.gateways = undefined;
    takeAll(budget);
    await advance(WINDOW_MS);
    expect(takeAll(budget)).to.equal(0);
    state.gateways = GATEWAYS;
    expect(takeAll(budget)).to.be.within(1, ALLOWANCE / GATEWAYS);
  });

  it('has credit for the first request to a service when it has run for a while', async () => {
    const { budget, advance } = createCase();
    await advance(WINDOW_MS);
    expect(takeAll(budget)).to.be.within(1, ALLOWANCE / GATEWAYS);
  });

  it('takes back what was not sent, unless it has expired', async () => {
    const { budget, advance } = createCase();
    receive(budget, 10);
    const first = budget.take('pages');
    expect(budget.hasLeft('pages')).to.equal(false);
    first?.refund();
    const second = budget.take('pages');
    expect(second).not.to.equal(undefined);
    await advance(WINDOW_MS / 2);
    takeAll(budget);
    second?.refund();
    expect(budget.hasLeft('pages')).to.equal(false);
  });

  it('renews a permit that waited for long from newer credit, or ends it', async () => {
    const { budget, advance } = createCase();
    receive(budget, 10);
    const renewed = budget.take('pages');
    await advance(WINDOW_MS / 4 + 1);
    receive(budget, 10);
    expect(renewed?.renew()).to.equal(true);
    await advance(WINDOW_MS / 4 + 1);
    takeAll(budget);
    expect(renewed?.renew()).to.equal(false);
  });
});
