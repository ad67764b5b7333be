// Guards against gateways that never serve, or never end, since an address was still taken when they started.
import { createServer, type Server } from 'node:net';
import { expect } from 'chai';
import { until } from '../fixtures/gateway.js';
import {
  ports,
  startProgramFleet,
  type GatewayProgram,
  type ProgramFleet,
} from '../fixtures/gateway-process.js';

describe('a gateway one of whose addresses is taken', () => {
  let fleet: ProgramFleet;
  let gateway: GatewayProgram;
  let other: Server;

  beforeEach(async () => {
    fleet = await startProgramFleet();
    gateway = fleet.prepare({ graceS: 1 });
    gateway.writeSettings(gateway.settings);
    other = createServer();
  });

  afterEach(async () => {
    other.close();
    await fleet.close();
  });

  async function startBeside(port: number): Promise<void> {
    await new Promise<void>((resolve) => {
      other.listen(port, gateway.host, resolve);
    });
    gateway.start();
    await until(() => gateway.hasWritten('portTaken') || gateway.ended() !== undefined);
    expect(gateway.ended(), gateway.output()).to.equal(undefined);
  }

  for (const [name, port] of Object.entries(ports)) {
    it(`serves once it is free: ${name}`, async function () {
      this.timeout(30_000);
      await startBeside(port);
      other.close();
      await gateway.serves();
      await until(async () => (await gateway.readiness()) === 200);
    });

    it(`stops while it waits: ${name}`, async function () {
      this.timeout(30_000);
      await startBeside(port);
      gateway.signal('SIGTERM');
      await until(() => gateway.ended() !== undefined);
      expect(gateway.ended(), gateway.output()).to.deep.equal({ code: 0, signal: null });
    });
  }
});
