// Guards against requests that a gateway takes and passes on while it stops, and cuts without an answer at its end.
import { expect } from 'chai';
import {
  callPage,
  openConnection,
  readAnswer,
  renderCall,
  startProgramFleet,
  type CallerSight,
  type GatewayProgram,
  type ProgramFleet,
} from '../fixtures/gateway-process.js';
import { until } from '../fixtures/gateway.js';

const CALL_INTERVAL_MS = 20;

describe('a planned stop', () => {
  let fleet: ProgramFleet;
  let gateway: GatewayProgram;

  beforeEach(async () => {
    fleet = await startProgramFleet();
  });

  afterEach(() => fleet.close());

  async function start(graceS: number): Promise<void> {
    gateway = fleet.prepare({ graceS });
    gateway.writeSettings(gateway.settings);
    gateway.start();
    await gateway.serves();
  }

  /** Sends requests on connections of their own until the gateway has ended, of which it is told to stop at once. */
  async function stopUnderCalls(
    send: () => Promise<CallerSight>,
  ): Promise<{ sights: CallerSight[]; passedOn: number }> {
    const before = fleet.pages.received().length;
    gateway.signal('SIGTERM');
    const calls: Promise<CallerSight>[] = [];
    await until(async () => {
      calls.push(send());
      await new Promise((resolve) => {
        setTimeout(resolve, CALL_INTERVAL_MS);
      });
      return gateway.ended() !== undefined;
    });
    return {
      sights: await Promise.all(calls),
      passedOn: fleet.pages.received().length - before,
    };
  }

  /** Answers that only what was passed on gets. */
  function countServed(sights: readonly CallerSight[]): number {
    return sights.filter(({ status }) => [200, 502, 504].includes(status ?? 0)).length;
  }

  const cases = [
    { graceS: 1, workMs: 300 },
    { graceS: 2, workMs: 300 },
    { graceS: 2, workMs: 900 },
    { graceS: 2, workMs: 1_300 },
    { graceS: 4, workMs: 1_300 },
  ];
  for (const { graceS, workMs } of cases) {
    for (const route of ['once', 'any'] as const) {
      it(`answers all it passes on: ${route}, work of ${workMs} ms, grace of ${graceS} s`, async function () {
        this.timeout(30_000);
        await start(graceS);
        fleet.work(workMs);
        const { sights, passedOn } = await stopUnderCalls(() => callPage(gateway.host, route));
        expect(passedOn).to.be.greaterThan(0);
        expect(countServed(sights)).to.equal(passedOn);
        expect(gateway.ended()).to.deep.equal({ code: 0, signal: null });
      });
    }
  }

  it('answers all it passes on where bodies come slowly', async function () {
    this.timeout(30_000);
    await start(4);
    fleet.work(300);
    let sent = 0;
    const { sights, passedOn } = await stopUnderCalls(() => {
      const socket = openConnection(gateway.host);
      socket.write(`${renderCall('once', 20)}ten bytes `);
      sent += 1;
      setTimeout(() => socket.write('ten bytes '), (sent % 6) * 250);
      return readAnswer(socket, performance.now());
    });
    expect(passedOn).to.be.greaterThan(0);
    expect(countServed(sights)).to.equal(passedOn);
  });

  it('does not wait for a store that is silent', async function () {
    this.timeout(30_000);
    await start(1);
    fleet.work(300);
    fleet.store.setFault('silent');
    const { sights, passedOn } = await stopUnderCalls(() => callPage(gateway.host, 'once'));
    expect(countServed(sights)).to.equal(passedOn);
    expect(gateway.hasWritten('gatewayStopped')).to.equal(true);
    // written once the store's time is up, which is longer than the grace period
    expect(gateway.hasWritten('gatewayRowFailed')).to.equal(false);
  });
});
