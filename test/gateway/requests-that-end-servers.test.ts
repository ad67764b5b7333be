// Guards against a request that crashes each server that runs it and is sent again with other ids through other
// gateways: all gateways together must recognise and ban it.
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
  promptHeads,
  register,
  startGatewayFixture,
  startGatewayFixtures,
  until,
  type GatewayFixture,
} from '../fixtures/gateway.js';

const GATEWAYS = 2;
const SERVERS = 9;
const ATTEMPTS = 18;
/** Most servers that one request may crash: it is banned after three, and up to three sends may still be in flight. */
const MAX_CRASHED = 6;
const BODY = 'a request that ends its server';

describe('a request that crashes servers', () => {
  let store: StoreStandIn;
  let pages: ServerStandIn[];
  let engines: ServerStandIn[];
  let gateways: GatewayFixture[];

  beforeEach(async () => {
    store = await startStoreStandIn();
    store.put('op', 'config', configuration(1));
    pages = await startServers('page');
    engines = await startServers('engine', { events: 3, role: 'decode' });
    const reader = await startServerStandIn({ id: 'reader', role: 'prefill', endsOn: BODY });
    for (const page of pages) register(store, page, 'pages');
    for (const engine of engines) register(store, engine, 'chat', { stage: 'decode' });
    register(store, reader, 'chat', { stage: 'prefill' });
    engines.push(reader);
    gateways = await startGatewayFixtures(GATEWAYS, store.address);
    await until(() => gateways.every(isServing));
  });

  afterEach(async () => {
    await Promise.all(gateways.map(({ gateway }) => gateway.stop()));
    await Promise.all([store, ...pages, ...engines].map((part) => part.close()));
  });

  function startServers(name: string, terms = {}): Promise<ServerStandIn[]> {
    const indexes = Array.from({ length: SERVERS }, (_, index) => index);
    return Promise.all(
      indexes.map((index) =>
        startServerStandIn({ id: `${name}-${index}`, endsOn: BODY, ...terms }),
      ),
    );
  }

  function isServing({ log }: GatewayFixture): boolean {
    const found = log.lines.some(({ event, fields }) => {
      return event === 'gatewaysChanged' && fields.alive === GATEWAYS - 1;
    });
    const changes = log.lines.filter(({ event }) => event === 'serverChanged').length;
    const hasRoutes = log.lines.some(({ event }) => event === 'routesApplied');
    return found && hasRoutes && changes > 2 * SERVERS;
  }

  async function sendAttempts(path: string, headersOf: (id: string) => Record<string, string>) {
    const statuses: number[] = [];
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const port = gateways[attempt % GATEWAYS]?.settings.callers.port ?? 0;
      const headers = headersOf(`attempt-${attempt}`);
      const answer = await ask(port, { method: 'POST', path, headers, body: BODY });
      statuses.push(answer.status);
    }
    return statuses;
  }

  function countCrashed(servers: readonly ServerStandIn[]): number {
    return servers.filter((server) => server.hasEnded()).length;
  }

  async function expectServed(path: string, body: string): Promise<void> {
    const port = gateways[0]?.settings.callers.port ?? 0;
    const options = { method: 'POST', path, headers: heads('other'), body };
    await until(async () => (await ask(port, options)).status === 200);
  }

  it('is refused by all gateways after three crashes of a plain service', async () => {
    const statuses = await sendAttempts('/once/7', heads);
    expect(countCrashed(pages)).to.be.within(3, MAX_CRASHED);
    expect(statuses.at(-1)).to.equal(503);
    await expectServed('/once/7', 'another body of the same caller');
  });

  it('is refused by all gateways after three crashes of engines', async () => {
    const statuses = await sendAttempts('/single/7', promptHeads);
    expect(countCrashed(engines)).to.be.within(3, MAX_CRASHED);
    expect(statuses.at(-1)).to.equal(503);
  });

  it('is refused by all gateways after three crashes if it may be retried', async () => {
    const statuses = await sendAttempts('/any/7', heads);
    expect(countCrashed(pages)).to.be.within(3, MAX_CRASHED);
    expect(statuses.at(-1)).to.equal(503);
  });

  it('is still refused after all gateways have restarted', async () => {
    await sendAttempts('/once/7', heads);
    await until(() => listBanRows().length > 0);
    await Promise.all(gateways.map(({ gateway }) => gateway.stop()));
    const before = countCrashed(pages);
    gateways = [await startGatewayFixture('node-9', store.address)];
    await until(
      () => gateways[0]?.log.lines.some(({ event }) => event === 'requestBanned') ?? false,
    );
    const port = gateways[0]?.settings.callers.port ?? 0;
    const options = { method: 'POST', path: '/once/7', headers: heads('late'), body: BODY };
    expect((await ask(port, options)).status).to.equal(503);
    expect(countCrashed(pages)).to.equal(before);
  });

  it('runs again after an operator has lifted its ban at any gateway', async () => {
    await sendAttempts('/once/7', heads);
    const [first, second] = gateways.map(({ settings }) => settings);
    const listed = await ask(first?.metrics.port ?? 0, { path: '/bans' });
    const { bans } = JSON.parse(listed.body) as { bans: { fingerprint: string }[] };
    const path = `/bans/${bans[0]?.fingerprint ?? ''}`;
    const lifted = await ask(first?.metrics.port ?? 0, { method: 'DELETE', path });
    expect([bans.length, lifted.status]).to.deep.equal([1, 200]);
    const before = countCrashed(pages);
    const options = { method: 'POST', path: '/once/7', headers: heads('again'), body: BODY };
    await until(async () => (await ask(second?.callers.port ?? 0, options)).status === 502);
    expect(countCrashed(pages)).to.equal(before + 1);
    const none = await ask(second?.metrics.port ?? 0, { method: 'DELETE', path: '/bans/none' });
    expect(none.status).to.equal(404);
  });

  /** Rows in the store of the requests that gateways report as banned. */
  function listBanRows(): unknown[] {
    const rows: unknown[] = [];
    for (const { log } of gateways) {
      for (const { event, fields } of log.lines) {
        if (event !== 'requestBanned') continue;
        const row = store.read('reedtally', `bans/${String(fields.fingerprint)}`);
        if (row !== undefined) rows.push(row);
      }
    }
    return rows;
  }
});
