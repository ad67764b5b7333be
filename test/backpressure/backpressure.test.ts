import { expect } from 'chai';
import { createBackpressure, noSignals } from '../../src/backpressure/index.js';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const server: RegisteredServer = {
  id: 's@1',
  bornAtMs: 1,
  service: 'pages',
  address: '127.0.0.1:1',
  zone: 'zone',
  slots: 8,
  isLeaving: false,
  role: undefined,
  warmUpMs: 0,
};

function setUp(allocator = 'self') {
  const { clock, advance, runUntil } = createFakeClock();
  const leaving: string[] = [];
  const backpressure = createBackpressure({
    clock,
    random: createSeededRandom(1),
    log: createSilentLog(),
    metrics: createGatewayMetrics(),
    node: 'self',
    timeOfDay: () => clock.now(),
    allocatorOf: () => allocator,
    gateways: () => 7,
    serverLeaving: (id) => leaving.push(id),
    broadcast: () => undefined,
    send: () => true,
  });
  return { backpressure, advance, runUntil, leaving };
}

describe('backpressure', () => {
  it('keeps a limit after unsuccessful answers and unreadable signals', () => {
    const { backpressure } = setUp();
    backpressure.signalsReceived(server, { ...noSignals, limitPerS: 4 }, true);
    backpressure.signalsReceived(server, noSignals, false);
    const unreadable = [{ signal: 'limit' as const, text: '4, 4' }];
    backpressure.signalsReceived(server, { ...noSignals, unreadable }, true);
    expect(backpressure.limits.isLimited(server.id)).to.equal(true);
    backpressure.signalsReceived(server, noSignals, true);
    expect(backpressure.limits.isLimited(server.id)).to.equal(false);
  });

  it('ignores a notice from a peer if a newer one is known', async () => {
    const { backpressure, advance } = setUp();
    await advance(1_000);
    backpressure.signalsReceived(server, { ...noSignals, limitPerS: 4 }, true);
    const rows = [{ server: server.id, isLeaving: false, ageMs: 300 }];
    backpressure.received('peer', { kind: 'notices', rows });
    expect(backpressure.limits.isLimited(server.id)).to.equal(true);
    await advance(1_000);
    backpressure.received('peer', { kind: 'notices', rows });
    expect(backpressure.limits.isLimited(server.id)).to.equal(false);
  });

  it('keeps an incarnation marked as leaving, whatever later signals and notices report', () => {
    const { backpressure, leaving } = setUp();
    backpressure.signalsReceived(server, { ...noSignals, isLeaving: true }, true);
    backpressure.signalsReceived(server, noSignals, true);
    const rows = [{ server: server.id, isLeaving: false, ageMs: 0 }];
    backpressure.received('peer', { kind: 'notices', rows });
    expect(leaving).to.deep.equal([server.id]);
    expect(backpressure.digest()).to.not.equal(0);
  });

  it('does not apply signals to another incarnation', () => {
    const { backpressure } = setUp();
    backpressure.signalsReceived(server, { ...noSignals, limitPerS: 4, pauseMs: 500 }, false);
    expect(backpressure.limits.isLimited('s@2')).to.equal(false);
    expect(backpressure.msUntilResumed('s@2')).to.equal(0);
  });

  it('limits a pause to a minute and ignores one of 0 ms', () => {
    const { backpressure } = setUp();
    backpressure.signalsReceived(server, { ...noSignals, pauseMs: 0 }, false);
    expect(backpressure.paused()).to.deep.equal([]);
    backpressure.signalsReceived(server, { ...noSignals, pauseMs: 3e10 }, false);
    expect(backpressure.msUntilResumed(server.id)).to.be.within(59_000, 61_000);
  });

  it('closes a server only briefly when its allocating gateway does not answer', async () => {
    const { backpressure, runUntil } = setUp('other');
    backpressure.signalsReceived(server, { ...noSignals, limitPerS: 0.5 }, true);
    expect(await runUntil(backpressure.acquireAllowance(server.id, true))).to.equal(false);
    expect(backpressure.msUntilOpen(server.id)).to.be.within(1, 500);
  });
});
