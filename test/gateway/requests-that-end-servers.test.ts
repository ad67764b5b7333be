// A request ended each server that began to run it, and came again under other ids at other gateways. Each gateway
// counted the sends of one attempt and nothing else, so no one knew that it was the same request: of two such
// requests one ended twelve engines and the other eight, and each time all who were served there lost their answers
// ("sendEnded", "lost", "the connection was closed" at four gateways in one millisecond, and "ECONNREFUSED" after).
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
  until,
  type GatewayFixture,
} from '../fixtures/gateway.js';

const GATEWAYS = 2;
const SERVERS = 9;
const ATTEMPTS = 18;
/** Servers that may end under one request: it is banned after three, and no more than three sends may follow. */
const MOST_ENDED = 6;
const BODY = 'a request that ends its server';

describe('a request under which servers end', () => {
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
    gateways = [];
    const seeds: string[] = [];
    for (let index = 0; index < GATEWAYS; index += 1) {
      const fixture = await startGatewayFixture(`node-${index}`, store.address, seeds);
      seeds.push(`127.0.0.1:${fixture.settings.peers.port}`);
      gateways.push(fixture);
    }
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

  async function askEverywhere(path: string, headersOf: (id: string) => Record<string, string>) {
    const statuses: number[] = [];
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const port = gateways[attempt % GATEWAYS]?.settings.callers.port ?? 0;
      const headers = headersOf(`attempt-${attempt}`);
      const answer = await ask(port, { method: 'POST', path, headers, body: BODY });
      statuses.push(answer.status);
    }
    return statuses;
  }

  function countEnded(servers: readonly ServerStandIn[]): number {
    return servers.filter((server) => server.hasEnded()).length;
  }

  async function expectServed(path: string, body: string): Promise<void> {
    const port = gateways[0]?.settings.callers.port ?? 0;
    const question = { method: 'POST', path, headers: heads('other'), body };
    await until(async () => (await ask(port, question)).status === 200);
  }

  it('is refused everywhere once three have ended, where a plain service runs it', async () => {
    const statuses = await askEverywhere('/once/7', heads);
    expect(countEnded(pages)).to.be.within(3, MOST_ENDED);
    expect(statuses.at(-1)).to.equal(503);
    await expectServed('/once/7', 'another body of the same caller');
  });

  it('is refused everywhere once three have ended, where engines run it', async () => {
    const statuses = await askEverywhere('/single/7', promptHeads);
    expect(countEnded(engines)).to.be.within(3, MOST_ENDED);
    expect(statuses.at(-1)).to.equal(503);
  });

  it('is refused everywhere once three have ended, where it may be sent again', async () => {
    const statuses = await askEverywhere('/any/7', heads);
    expect(countEnded(pages)).to.be.within(3, MOST_ENDED);
    expect(statuses.at(-1)).to.equal(503);
  });

  it('is still refused after all gateways have started anew', async () => {
    await askEverywhere('/once/7', heads);
    await until(() => listBanRows().length > 0);
    await Promise.all(gateways.map(({ gateway }) => gateway.stop()));
    const before = countEnded(pages);
    gateways = [await startGatewayFixture('node-9', store.address)];
    await until(
      () => gateways[0]?.log.lines.some(({ event }) => event === 'requestBanned') ?? false,
    );
    const port = gateways[0]?.settings.callers.port ?? 0;
    const question = { method: 'POST', path: '/once/7', headers: heads('late'), body: BODY };
    expect((await ask(port, question)).status).to.equal(503);
    expect(countEnded(pages)).to.equal(before);
  });

  it('runs again once an operator has lifted its ban at any gateway', async () => {
    await askEverywhere('/once/7', heads);
    const [first, second] = gateways.map(({ settings }) => settings);
    const listed = await ask(first?.metrics.port ?? 0, { path: '/bans' });
    const { bans } = JSON.parse(listed.body) as { bans: { fingerprint: string }[] };
    const path = `/bans/${bans[0]?.fingerprint ?? ''}`;
    const lifted = await ask(first?.metrics.port ?? 0, { method: 'DELETE', path });
    expect([bans.length, lifted.status]).to.deep.equal([1, 200]);
    const before = countEnded(pages);
    const question = { method: 'POST', path: '/once/7', headers: heads('again'), body: BODY };
    await until(async () => (await ask(second?.callers.port ?? 0, question)).status === 502);
    expect(countEnded(pages)).to.equal(before + 1);
    const none = await ask(second?.metrics.port ?? 0, { method: 'DELETE', path: '/bans/none' });
    expect(none.status).to.equal(404);
  });

  /** Requests of which the gateways say that they are banned, and kept as such by the store. */
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
