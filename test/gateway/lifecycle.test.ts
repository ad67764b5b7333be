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
  type GatewayFixture,
} from '../fixtures/gateway.js';

describe('the lifecycle of a gateway', () => {
  let store: StoreStandIn;
  let page: ServerStandIn;
  let fixtures: GatewayFixture[];

  beforeEach(async () => {
    store = await startStoreStandIn();
    page = await startServerStandIn({ id: 'page-1' });
    fixtures = [];
  });

  afterEach(async () => {
    await Promise.all(fixtures.map(({ gateway }) => gateway.stop()));
    await store.close();
    await page.close();
  });

  async function start(node: string, seeds: readonly string[] = []): Promise<GatewayFixture> {
    const fixture = await startGatewayFixture(node, store.address, seeds);
    fixtures.push(fixture);
    return fixture;
  }

  function status(port: number, path = '/ready'): Promise<number> {
    return ask(port, { path }).then((answer) => answer.status);
  }

  function routesOf({ log }: GatewayFixture): unknown[] {
    const applied = log.lines.filter(({ event }) => event === 'routesApplied');
    return applied.map(({ fields }) => fields.version);
  }

  it('refuses requests and is not ready before the first configuration', async () => {
    const { settings } = await start('node-1');
    expect(await status(settings.readiness.port)).to.equal(503);
    const answer = await ask(settings.callers.port, { path: '/once/1', headers: heads('r1') });
    expect(answer.status).to.equal(503);
    expect(answer.headers).to.have.property('retry-after');
  });

  it('serves by the store’s configuration and applies its changes', async () => {
    store.put('op', 'config', configuration(3));
    const fixture = await start('node-1');
    await until(() => routesOf(fixture).includes(3));
    store.put('op', 'config', configuration(9));
    await until(() => routesOf(fixture).includes(9));
    expect(await status(fixture.settings.readiness.port)).to.equal(200);
  });

  it('reads everything again after the store dropped its history', async () => {
    store.put('op', 'config', configuration(1));
    const fixture = await start('node-1');
    await until(() => routesOf(fixture).includes(1));
    store.setFault('answers-lost');
    store.put('op', 'config', configuration(2));
    store.compact();
    store.put('servers', 'other', {
      backend: 'x',
      address: '127.0.0.1:1',
      zone: 'z',
      version: 'v1',
      slots: 1,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 0,
    });
    store.compact();
    store.setFault('none');
    await until(() => routesOf(fixture).includes(2));
  });

  it('receives routes and servers from a peer when it cannot reach the store', async () => {
    store.put('op', 'config', configuration(1));
    const [first, second] = [await start('node-1'), await start('node-2')];
    await until(() => second.log.lines.some(({ event }) => event === 'gatewaysChanged'));
    await until(() => routesOf(second).includes(1));
    const cutOff = await startGatewayFixture('node-3', '127.0.0.1:1', [
      `127.0.0.1:${first.settings.peers.port}`,
    ]);
    fixtures.push(cutOff);
    register(store, page, 'pages');
    await until(() => routesOf(cutOff).includes(1));
    await until(() => cutOff.log.lines.some(({ event }) => event === 'serverChanged'));
    const answer = await ask(cutOff.settings.callers.port, {
      path: '/once/1',
      headers: heads('r1'),
    });
    expect(answer.status).to.equal(200);
  });

  it('lists every ready gateway in the directory, and none that is stopping', async () => {
    store.put('op', 'config', configuration(1));
    const [first, second] = [await start('node-1'), await start('node-2')];
    const port = first.settings.directory?.port ?? 0;
    async function addresses(): Promise<string[]> {
      const answer = await ask(port, { path: '/resolve?name=desk.example&zone=zone-a' });
      if (answer.status !== 200) return [];
      return (JSON.parse(answer.body) as { addresses: string[] }).addresses;
    }
    await until(async () => (await addresses()).length === 2);
    const stopping = second.gateway.stop();
    await until(async () => (await addresses()).length === 1);
    expect(await addresses()).to.deep.equal([`127.0.0.1:${first.settings.callers.port}`]);
    await stopping;
  });

  it('refuses requests that could exceed its grace period once it has been stopping for a while', async () => {
    store.put('op', 'config', configuration(1));
    register(store, page, 'pages');
    const fixture = await start('node-1');
    await until(() => fixture.log.lines.some(({ event }) => event === 'serverChanged'));
    await until(() => routesOf(fixture).includes(1));
    const stopping = fixture.gateway.stop();
    const { callers } = fixture.settings;
    const refusals: (string | undefined)[] = [];
    await until(async () => {
      const answer = await ask(callers.port, { path: '/once/1', headers: heads('r1') });
      if (answer.status === 503) refusals.push(answer.headers['retry-after']);
      return refusals.length > 0;
    });
    const short = heads('r2', { 'X-Request-Deadline-Ms': '50' });
    const answer = await ask(callers.port, { path: '/once/2', headers: short });
    expect(answer.status).to.equal(200);
    expect(Number(refusals[0])).to.be.greaterThan(0);
    await stopping;
  });

  it('keeps serving while it stops, and asks callers to close connections', async () => {
    store.put('op', 'config', configuration(1));
    register(store, page, 'pages');
    const fixture = await start('node-1');
    await until(() => fixture.log.lines.some(({ event }) => event === 'serverChanged'));
    await until(() => routesOf(fixture).includes(1));
    const stopping = fixture.gateway.stop();
    const { callers, readiness } = fixture.settings;
    expect(await status(readiness.port)).to.equal(503);
    const answer = await ask(callers.port, { path: '/once/1', headers: heads('r1') });
    expect(answer.status).to.equal(200);
    expect(answer.headers.connection).to.equal('close');
    await stopping;
  });

  // without this, each restart in turn left the others without a gateway that only waited for its grace period to end
  it('ends before its grace period does once its callers have moved', async () => {
    store.put('op', 'config', configuration(1));
    const { gateway, log } = await startGatewayFixture('node-1', store.address, [], {
      graceMs: 30_000,
      directoryTtlMs: 500,
    });
    await gateway.stop();
    const [stopped] = log.lines.filter(({ event }) => event === 'gatewayStopped');
    expect(stopped?.fields).to.deep.equal({ inFlight: 0, end: 'callers-moved' });
  });

  it('serves until its grace period ends while callers still come', async () => {
    store.put('op', 'config', configuration(1));
    register(store, page, 'pages');
    const bounds = { graceMs: 3_000, directoryTtlMs: 500 };
    const { gateway, log, settings } = await startGatewayFixture(
      'node-1',
      store.address,
      [],
      bounds,
    );
    await until(() => log.lines.some(({ event }) => event === 'serverChanged'));
    await until(() => log.lines.some(({ event }) => event === 'routesApplied'));
    function hasStopped(): boolean {
      return log.lines.some(({ event }) => event === 'gatewayStopped');
    }
    const stopping = gateway.stop();
    const statuses = new Set<number>();
    for (let count = 0; !hasStopped(); count += 1) {
      const short = heads(`r${count}`, { 'X-Request-Deadline-Ms': '100' });
      const asked = ask(settings.callers.port, { path: `/once/${count}`, headers: short });
      statuses.add(await asked.then(({ status }) => status).catch(() => 0));
    }
    await stopping;
    const [stopped] = log.lines.filter(({ event }) => event === 'gatewayStopped');
    expect(stopped?.fields.end).to.equal('grace-period');
    expect(statuses).to.include(200);
  });

  it('exports which settings and routes are in force since when', async () => {
    store.put('op', 'config', configuration(1));
    const fixture = await start('node-1');
    await until(() => routesOf(fixture).includes(1));
    const { metrics } = fixture.settings;
    const readMetrics = () => ask(metrics.port, { path: '/metrics' }).then(({ body }) => body);
    const before = await readMetrics();
    expect(before).to.match(/routes_since_seconds\{version="1"\} \d{10}/);
    expect(before).to.match(/settings_since_seconds\{fingerprint="first"\} \d{10}/);
    expect(before).to.match(/reedtally_gateway_peers 0/);
    fixture.gateway.reconfigure({ ...fixture.settings, fingerprint: 'second' });
    store.put('op', 'config', configuration(2));
    await until(() => routesOf(fixture).includes(2));
    const after = await readMetrics();
    expect(after).to.match(/settings_since_seconds\{fingerprint="second"\}/);
    expect(after).to.match(/routes_since_seconds\{version="2"\}/);
    expect(after).not.to.match(/fingerprint="first"|version="1"/);
  });
});
