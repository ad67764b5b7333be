// Guards against a gateway whose every start begins a new retry allowance: restarts multiplied the retries.
import { expect } from 'chai';
import {
  startServerStandIn,
  startStoreStandIn,
  type ServerStandIn,
  type StoreStandIn,
} from '../../stand-ins/users-platform/index.js';
import {
  ask,
  configuration,
  heads,
  register,
  startGatewayFixture,
  until,
} from '../fixtures/gateway.js';

const STARTS = 15;
const REQUESTS = 8;
/** One window spans the whole test, however slow it is. */
const bounds = { retryRatio: 0.2, retryAllowance: 50, retryWindowMs: 600_000 };

describe('the retries of a gateway that starts again and again', () => {
  let store: StoreStandIn;
  let pages: ServerStandIn[];

  beforeEach(async () => {
    store = await startStoreStandIn();
    store.put('op', 'config', configuration(1));
    pages = await Promise.all(
      ['page-1', 'page-2', 'page-3'].map((id) => startServerStandIn({ id })),
    );
    for (const page of pages) {
      register(store, page, 'pages');
      page.turnAway({});
    }
  });

  afterEach(async () => {
    await Promise.all([store, ...pages].map((part) => part.close()));
  });

  async function runOnce(start: number): Promise<void> {
    const { gateway, log, settings } = await startGatewayFixture('node', store.address, [], bounds);
    const count = (event: string) => log.lines.filter((line) => line.event === event).length;
    await until(() => count('routesApplied') > 0 && count('serverChanged') >= pages.length);
    for (let request = 0; request < REQUESTS; request += 1) {
      const headers = heads(`r-${start}-${request}`);
      await ask(settings.callers.port, { path: '/any/7', headers });
    }
    await gateway.stop();
  }

  it('stay within the bound that holds for all processes together', async () => {
    for (let start = 0; start < STARTS; start += 1) {
      await runOnce(start);
    }
    const arrivals = pages.reduce((sum, page) => sum + page.received().length, 0);
    const requests = STARTS * REQUESTS;
    const allowed = bounds.retryRatio * requests + bounds.retryAllowance;
    expect(arrivals - requests).to.be.within(1, allowed);
  }).timeout(120_000);
});
