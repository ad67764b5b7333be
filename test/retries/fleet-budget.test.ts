// Guards against more retries than the fleet's bound where gateways restart, alone or all together, again and again.
import { expect } from 'chai';
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

function createProcessBudget(view: GatewayView): ProcessBudget {
  const budget = createRetryBudget(
    view.clock,
    () => bound,
    () => (view.hasFoundPeers() ? view.largestFleet() : undefined),
  );
  return {
    requestReceived() {
      budget.requestReceived('chat');
    },
    pay() {
      const permit = budget.take('chat');
      return permit && { maySend: permit.renew };
    },
    lend: () => false,
  };
}

function findBroken(gateways: number, requestsPerSecond: number, histories: number): string[] {
  const broken: string[] = [];
  for (let seed = 1; seed <= histories; seed += 1) {
    const random = createSeededRandom(seed);
    const history = { faults: gatewayFaults, gateways, requestsPerSecond, random };
    const window = findBrokenWindow(playHistory(history, bound, createProcessBudget), bound);
    if (window === undefined) continue;
    const { fromMs, retries, allowed } = window;
    broken.push(`${gateways}, seed ${seed}, at ${Math.round(fromMs)} ms: ${retries} of ${allowed}`);
  }
  return broken;
}

describe('the retry budget of a fleet', () => {
  for (const { name, sizes, requestsPerSecond, histories } of fleets) {
    it(`holds in every window while ${name} restart, are cut off or freeze`, () => {
      const broken = sizes.flatMap((size) => findBroken(size, requestsPerSecond, histories));
      expect(broken.length, broken.slice(0, 5).join('; ')).to.equal(0);
    }).timeout(TIMEOUT_MS);
  }
});
