import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import { createCaller } from '../../platform/calls.js';
import { parseConfiguration } from '../../platform/configuration.js';
import { createCacheCalls, createEngineCalls } from '../../platform/engines.js';
import { parseEntry } from '../../platform/registry.js';
import { parseSettings } from '../../platform/settings.js';
import { createStore, type Store } from '../../platform/store.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import {
  startServerStandIn,
  startStoreStandIn,
  type StoreStandIn,
} from '../../stand-ins/users-platform/index.js';
import { renderAnswer, startRawServer } from '../fixtures/raw-server.js';

const SETTINGS = `node=front-a-1
zone=a
ip=10.0.0.1
limits.cpuShare=0.5
limits.cpuCores=2
listen.front=10.0.0.1:80
listen.readiness=10.0.0.1:81
listen.control=10.0.0.1:82
seeds=10.0.0.2:82,10.0.0.3:82
provider.address=10.0.0.9:90
bounds.graceS=8
bounds.leaseMs=3000
bounds.retryBudgetRatio=0.2
bounds.retrySlack=58
bounds.budgetWindowS=10
bounds.ttl_max_s=5
someday.new=1
`;

describe('the settings file of the platform', () => {
  it('is decoded with its units, ignoring unknown fields', () => {
    const settings = parseSettings(SETTINGS).unwrap();
    expect(settings).to.deep.include({ node: 'front-a-1', cores: 1, store: '10.0.0.9:90' });
    expect(settings.seeds).to.deep.equal(['10.0.0.2:82', '10.0.0.3:82']);
    expect(settings.bounds.graceMs).to.equal(8_000);
  });

  it('limits a change to the shortest of the configured times', () => {
    expect(parseSettings(SETTINGS).unwrap().bounds.changeMs).to.equal(undefined);
    const text = `${SETTINGS}bounds.configMs=2000\nbounds.drainMs=1500\n`;
    expect(parseSettings(text).unwrap().bounds.changeMs).to.equal(1_500);
  });

  it('reports each invalid or missing field', () => {
    const text = SETTINGS.replace('graceS=8', 'graceS=soon').replace('zone=a\n', '');
    const issues = parseSettings(text).unwrapErr();
    expect(issues.map(({ field }) => field)).to.deep.equal(['zone', 'bounds.graceS']);
  });
});

describe('documents of the platform', () => {
  it('report why a configuration is invalid', () => {
    expect(parseConfiguration('{"version": 1}')).to.have.property('issues');
    expect(parseConfiguration('{')).to.have.property('issues');
  });

  it('report why an entry is invalid, and decode a removal', () => {
    expect(parseEntry({ key: 's', revision: 1, text: '{}' }).unusable).to.have.property('issues');
    const removal = parseEntry({ key: 's', revision: 2, text: undefined });
    expect(removal).to.deep.equal({ id: 's', revision: 2, server: undefined });
  });
});

describe('calls to engines', () => {
  const engine: RegisteredServer = {
    id: 'e',
    service: 'chat',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 16,
    isLeaving: false,
    role: 'prefill',
    warmUpMs: 0,
  };

  it('report an unreadable state when the engine sends invalid JSON', async () => {
    const calls = createEngineCalls(() =>
      Promise.resolve(Ok({ status: 200, headers: {}, body: '{"sta' })),
    );
    expect((await calls.state(engine)).unwrapErr()).to.equal('unreadable state');
  });

  it('list the cached prompts of an engine', async () => {
    const stand = await startServerStandIn({ id: 'e', cached: [['aa', 1_000]] });
    const calls = createCacheCalls(createCaller());
    const listed = await calls.list({ ...engine, address: stand.address });
    await stand.close();
    expect(listed.unwrap()).to.deep.equal([{ model: 'm', id: 'aa', tokens: 1_000 }]);
  });

  it('report why an engine did not list its cached prompts', async () => {
    const answer = (status: number, body: string) =>
      createCacheCalls(() => Promise.resolve(Ok({ status, headers: {}, body }))).list(engine);
    expect((await answer(429, '')).unwrapErr()).to.equal('status 429');
    expect((await answer(200, '{"held":[["", 1]]}')).unwrapErr()).to.equal('unreadable list');
  });
});

describe('the client of the store', () => {
  let stand: StoreStandIn;
  let store: Store;

  beforeEach(async () => {
    stand = await startStoreStandIn();
    store = createStore(
      () => stand.address,
      createCaller(),
      () => undefined,
    );
  });

  afterEach(() => stand.close());

  it('returns the store’s clock with a row', async () => {
    await store.transact({ conditions: [], puts: [{ key: 'k', value: 1 }], deletes: [] });
    const first = (await store.get('k')).unwrap()?.readAtMs;
    const second = (await store.get('k')).unwrap()?.readAtMs;
    expect(first).to.be.a('number');
    expect(second).to.be.at.least(first ?? Number.POSITIVE_INFINITY);
  });

  it('writes only if the conditions hold', async () => {
    const put = (revision: number) =>
      store.transact({
        conditions: [{ key: 'k', revision }],
        puts: [{ key: 'k', value: { a: 1 } }],
        deletes: [],
      });
    expect((await put(0)).kind).to.equal('committed');
    expect(await put(0)).to.deep.equal({ kind: 'conflict', conflicts: ['k'] });
    expect((await store.get('k')).unwrap()?.value).to.deep.equal({ a: 1 });
  });

  it('distinguishes a write with an unknown outcome from one that was not executed', async () => {
    const write = { conditions: [], puts: [{ key: 'k', value: 1 }], deletes: [] };
    stand.setFault('answers-lost');
    expect((await store.transact(write)).kind).to.equal('unknown');
    stand.setFault('busy');
    expect((await store.transact(write)).kind).to.equal('unavailable');
  });

  it('takes no other failure for a write that was not executed', async () => {
    const write = { conditions: [], puts: [{ key: 'k', value: 1 }], deletes: [] };
    const kinds: Record<number, string> = {};
    for (const status of [400, 403, 412, 429, 500, 502, 503, 504, 507]) {
      const server = await startRawServer(({ connection }) => {
        connection.write(renderAnswer(status, {}, '{}'));
      });
      const client = createStore(
        () => server.address,
        createCaller(),
        () => undefined,
      );
      kinds[status] = (await client.transact(write)).kind;
      await server.close();
    }
    expect(kinds).to.deep.equal({
      400: 'unavailable',
      403: 'unavailable',
      412: 'conflict',
      429: 'unavailable',
      500: 'unknown',
      502: 'unknown',
      503: 'unavailable',
      504: 'unknown',
      507: 'unavailable',
    });
  });

  it('reads tables with more rows than one page', async () => {
    for (let index = 0; index < 1_100; index += 1) {
      stand.put('reedtally', `k${String(index).padStart(5, '0')}`, index);
    }
    const rows = (await store.range({ prefix: 'k', limit: 5_000 })).unwrap();
    expect(rows).to.have.length(1_100);
  });

  it('reports that the history after a revision was dropped', async () => {
    const feed = store.feed('servers', (row) => row.key);
    const signal = new AbortController().signal;
    const first = (await feed.readAll(signal)).unwrap();
    stand.put('servers', 'a', {});
    const next = (await feed.next(first.revision, 1_000, signal)).unwrap();
    expect(next.items).to.deep.equal(['a']);
    stand.put('servers', 'b', {});
    stand.compact();
    const lost = await feed.next(first.revision, 1_000, signal);
    expect(lost.unwrapErr().kind).to.equal('history-lost');
  });
});
