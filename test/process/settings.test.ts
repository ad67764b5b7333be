// Guards against gateways that end since their settings file is written after them, or not at once.
import { expect } from 'chai';
import { until } from '../fixtures/gateway.js';
import {
  startProgramFleet,
  type GatewayProgram,
  type ProgramFleet,
} from '../fixtures/gateway-process.js';

describe('a gateway whose settings come late', () => {
  let fleet: ProgramFleet;
  let gateway: GatewayProgram;

  beforeEach(async () => {
    fleet = await startProgramFleet();
    gateway = fleet.prepare();
  });

  afterEach(() => fleet.close());

  /** Waits until it says that it waits for its settings. */
  async function waits(): Promise<void> {
    await until(
      () => gateway.output().includes('settingsAwaited') || gateway.ended() !== undefined,
    );
    expect(gateway.ended(), gateway.output()).to.equal(undefined);
  }

  it('starts once the file is there', async function () {
    this.timeout(30_000);
    gateway.start();
    await waits();
    gateway.writeSettings(gateway.settings);
    await gateway.serves();
  });

  it('starts once the file is whole, wherever it was cut', async function () {
    this.timeout(60_000);
    const { settings } = gateway;
    const lastName = settings.lastIndexOf('\n', settings.length - 2) + 4;
    for (const length of [0, 10, Math.floor(settings.length / 2), lastName, settings.length - 2]) {
      gateway.writeSettings(settings.slice(0, length));
      gateway.start();
      await waits();
      gateway.writeSettings(settings);
      await gateway.serves();
      gateway.signal('SIGKILL');
      await until(() => gateway.ended() !== undefined);
    }
  });

  it('ends at once for a file that is whole and wrong', async function () {
    this.timeout(30_000);
    gateway.writeSettings(gateway.settings.replace('graceS=4', 'graceS=four'));
    gateway.start();
    await until(() => gateway.ended() !== undefined);
    expect(gateway.ended()).to.deep.equal({ code: 2, signal: null });
    expect(gateway.output()).to.include('bounds.graceS "four" is no number of 0 or more');
    expect(gateway.output()).not.to.include('settingsAwaited');
  });

  for (const name of ['SIGTERM', 'SIGINT'] as const) {
    it(`ends with 0 on ${name} while it waits`, async function () {
      this.timeout(30_000);
      gateway.start();
      await waits();
      gateway.signal('SIGHUP');
      gateway.signal(name);
      gateway.signal(name);
      await until(() => gateway.ended() !== undefined);
      expect(gateway.ended(), gateway.output()).to.deep.equal({ code: 0, signal: null });
    });
  }

  it('checks a file at once', async function () {
    this.timeout(30_000);
    gateway.writeSettings('node=n\n');
    gateway.start(['--check']);
    await until(() => gateway.ended() !== undefined);
    expect(gateway.ended()).to.deep.equal({ code: 2, signal: null });
    expect(gateway.output()).to.include('zone is missing');
  });

  it('names the file that it cannot check', async function () {
    this.timeout(30_000);
    gateway.start(['--check']);
    await until(() => gateway.ended() !== undefined);
    expect(gateway.ended()).to.deep.equal({ code: 2, signal: null });
    expect(gateway.output()).to.include(`${gateway.path}: cannot be read`);
  });
});
