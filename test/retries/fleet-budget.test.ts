// Guards against more retries than the fleet's bound where gateways restart, alone or all together, again and again.
import { expect } from 'chai';
import { createRetryCredit } from '../../src/retries/credit.js';
import { createRetryBudget } from '../../src/retries/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { findBrokenWindow, type FleetBound } from '../../tools/common/retry-bound.js';
import {
  gatewayFaults,
  playHistory,
  type GatewayView,
  type ProcessBudget,
} from './fleet-history.js';

/** Far above what the histories take, since machines differ. */
const TIMEOUT_MS = 300_000;

const bound: FleetBound = { ratio: 0.2, allowance: 52, windowMs: 10_000 };

/** Fleets from a handful of gateways to the size that the design is for. */
const fleets = [
  { name: 'a handful of gateways', sizes: [6, 7], requestsPerSecond: 50, histories: 500 },
  { name: 'thirty gateways', sizes: [30], requestsPerSecond: 200, histories: 100 },
  { name: 'hundreds of gateways', sizes: [195, 410], requestsPerSecond: 1_200, histories: 8 },
];

type BudgetFactory = (view: GatewayView) => ProcessBudget;

function createProcessBudget(
  view: GatewayView,
  gateways = () => (view.hasFoundPeers() ? view.largestFleet() : undefined),
): ProcessBudget {
  const budget = createRetryBudget(view.clock, () => bound, gateways);
  return {
    requestReceived() {
      budget.requestReceived('chat');
    },
    pay() {
      const permit = budget.take('chat');
      return permit && { maySend: permit.renew };
    },
  };
}

/** As if nobody counted on while they are not heard. */
function createForgetfulBudget(view: GatewayView): ProcessBudget {
  return createProcessBudget(view, () => view.reachablePeers() + 1);
}

/** As if each start gave what a process can save up at most. */
function createGenerousBudget(view: GatewayView): ProcessBudget {
  const gateways = () => view.largestFleet();
  const credit = createRetryCredit(view.clock, () => bound, gateways, -bound.windowMs);
  return {
    requestReceived() {
      credit.earn();
    },
    pay: () => credit.pay() && { maySend: () => true },
  };
}

function findBroken(
  gateways: number,
  { requestsPerSecond, histories }: { requestsPerSecond: number; histories: number },
  createBudget: BudgetFactory,
): string[] {
  const broken: string[] = [];
  for (let seed = 1; seed <= histories; seed += 1) {
    const random = createSeededRandom(seed);
    const history = { faults: gatewayFaults, gateways, requestsPerSecond, random };
    const window = findBrokenWindow(playHistory(history, createBudget), bound);
    if (window === undefined) continue;
    const { fromMs, retries, allowed } = window;
    broken.push(`${gateways}, seed ${seed}, at ${fromMs} ms: ${retries} of ${allowed}`);
  }
  return broken;
}

describe('the retry budget of a fleet', () => {
  for (const { name, sizes, ...terms } of fleets) {
    it(`holds in every window while ${name} restart, are cut off or freeze`, () => {
      const broken = sizes.flatMap((size) => findBroken(size, terms, createProcessBudget));
      expect(broken.length, broken.slice(0, 5).join('; ')).to.equal(0);
    }).timeout(TIMEOUT_MS);
  }

  it('is found broken where a gateway counts only those that it hears', () => {
    const terms = { requestsPerSecond: 200, histories: 40 };
    expect(findBroken(30, terms, createForgetfulBudget)).not.to.deep.equal([]);
  }).timeout(TIMEOUT_MS);

  it('is found broken where a start gives credit', () => {
    const terms = { requestsPerSecond: 50, histories: 40 };
    expect(findBroken(6, terms, createGenerousBudget)).not.to.deep.equal([]);
  }).timeout(TIMEOUT_MS);
});
