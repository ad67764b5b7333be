// Guards against gateways that end, with all that they have accepted, by an error that nobody caught.
import { expect } from 'chai';
import { until } from '../fixtures/gateway.js';
import { callPage, startProgramFleet, type ProgramFleet } from '../fixtures/gateway-process.js';

const CALLS = 20;
const WORK_MS = 500;

describe('a gateway in which nobody catches an error', () => {
  let fleet: ProgramFleet;

  beforeEach(async () => {
    fleet = await startProgramFleet();
  });

  afterEach(() => fleet.close());

  it('answers what runs, goes on, and says so', async function () {
    this.timeout(30_000);
    const gateway = fleet.prepare();
    gateway.writeSettings(gateway.settings);
    gateway.start([], 'dist/test/fixtures/failing-gateway.js');
    await gateway.serves();
    fleet.work(WORK_MS);
    const before = fleet.pages.received().length;
    const calls = Array.from({ length: CALLS }, () => callPage(gateway.host, 'once'));
    await until(() => fleet.pages.received().length === before + CALLS);
    gateway.signal('SIGWINCH');
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    expect(statuses, gateway.output()).to.deep.equal(Array.from({ length: CALLS }, () => 200));
    expect((await callPage(gateway.host, 'once')).status).to.equal(200);
    await until(() => gateway.output().includes('thrown by a callback'));
    expect(gateway.output()).to.include('thrown by a promise');
    expect(gateway.output()).to.match(
      /"name":"errorUncaught".*"stack":"Error: thrown by a callback/,
    );
    expect(await gateway.metrics()).to.match(/reedtally_gateway_errors_uncaught_total 2\n/);
    gateway.signal('SIGTERM');
    await until(() => gateway.ended() !== undefined);
    expect(gateway.ended()).to.deep.equal({ code: 0, signal: null });
  });
});
