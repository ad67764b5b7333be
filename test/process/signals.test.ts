// Guards against processes that a second signal, or another than SIGTERM, ends before their requests are answered.
import { expect } from 'chai';
import { until } from '../fixtures/gateway.js';
import {
  callPage,
  startProgramFleet,
  type CallerSight,
  type GatewayProgram,
  type ProgramFleet,
} from '../fixtures/gateway-process.js';

/** Longer than it takes to send all signals. */
const WORK_MS = 700;
const CALLS = 20;

describe('a gateway that is told to stop', () => {
  let fleet: ProgramFleet;
  let gateway: GatewayProgram;

  beforeEach(async () => {
    fleet = await startProgramFleet();
    gateway = fleet.prepare();
    gateway.writeSettings(gateway.settings);
    gateway.start();
    await gateway.serves();
  });

  afterEach(() => fleet.close());

  /** Sends signals, one after the other has been acted on, while requests that may run once are at work. */
  async function stopBy(first: NodeJS.Signals, ...more: NodeJS.Signals[]): Promise<CallerSight[]> {
    fleet.work(WORK_MS);
    const before = fleet.pages.received().length;
    const calls = Array.from({ length: CALLS }, () => callPage(gateway.host, 'once'));
    await until(() => fleet.pages.received().length === before + CALLS);
    gateway.signal(first);
    await until(() => gateway.hasWritten('gatewayStopping') || gateway.ended() !== undefined);
    for (const name of more) gateway.signal(name);
    const sights = await Promise.all(calls);
    await until(() => gateway.ended() !== undefined);
    return sights;
  }

  const series: [NodeJS.Signals, ...NodeJS.Signals[]][] = [
    ['SIGTERM', 'SIGTERM'],
    ['SIGINT'],
    ['SIGINT', 'SIGINT'],
    ['SIGINT', 'SIGTERM'],
    ['SIGTERM', 'SIGINT', 'SIGTERM'],
    ['SIGTERM', 'SIGHUP', 'SIGHUP'],
    ['SIGQUIT'],
    ['SIGTERM', 'SIGUSR1', 'SIGUSR2', 'SIGPIPE'],
  ];
  for (const signals of series) {
    it(`answers what runs after ${signals.join(', ')}`, async function () {
      this.timeout(30_000);
      const sights = await stopBy(...signals);
      const statuses = sights.map(({ status }) => status);
      expect(statuses).to.deep.equal(Array.from({ length: CALLS }, () => 200));
      expect(gateway.ended(), gateway.output()).to.deep.equal({ code: 0, signal: null });
      expect(gateway.output().match(/"gatewayStopping"/g)).to.have.length(1);
    });
  }
});
