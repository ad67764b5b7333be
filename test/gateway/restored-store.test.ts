// A store restored from a backup reuses versions for other changes. Guards against gateways that miss changes by reading
// on from an old version, that bring back servers that have departed, or that reuse a fence.
import { expect } from 'chai';
import { createCaller } from '../../platform/calls.js';
import { createStore, type Store } from '../../platform/store.js';
import { createSilentLog } from '../../src/events/index.js';
import { createOrderLease } from '../../src/roles/index.js';
import {
  startServerStandIn,
  startStoreStandIn,
  type ServerStandIn,
  type StoreStandIn,
} from '../../stand-ins/users-platform/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import {
  ask,
  configuration,
  heads,
  register,
  startGatewayFixture,
  until,
  type GatewayFixture,
} from '../fixtures/gateway.js';

describe('a store restored from an older copy', () => {
  let stand: StoreStandIn;
  let store: Store;
  const signal = new AbortController().signal;

  beforeEach(async () => {
    stand = await startStoreStandIn();
    store = createStore(
      () => stand.address,
      createCaller(),
      () => undefined,
    );
  });

  afterEach(() => stand.close());

  it('is read from the start, although the last read version exists again', async () => {
    stand.put('t', 'a', 1);
    const copy = stand.copy();
    stand.put('t', 'b', 2);
    const feed = store.feed('t', ({ key }) => key);
    const read = (await feed.readAll(signal)).unwrap();
    stand.restore(copy);
    stand.put('t', 'c', 3);
    stand.put('t', 'd', 4);
    let next = await feed.next(read.revision, 0, signal);
    // the first call may use a connection from before the restore
    while (next.isErr() && next.error.kind === 'unavailable') {
      next = await feed.next(read.revision, 0, signal);
    }
    expect(next.isErr() && next.error.kind).to.equal('history-lost');
    const reread = (await feed.readAll(signal)).unwrap();
    expect(reread.items).to.deep.equal(['a', 'c', 'd']);
    expect(reread.revision).to.be.above(read.revision);
  });

  it('does not issue a fence twice', async () => {
    const { clock, advance } = createFakeClock();
    function createLease(node: string) {
      const table = { ...store, get: withoutClock };
      return createOrderLease({
        node,
        table,
        clock,
        timeOfDay: () => clock.now(),
        log: createSilentLog(),
        leaseMs: 3_000,
      });
    }
    async function withoutClock(key: string) {
      return (await store.get(key)).map((row) => row && { ...row, readAtMs: clock.now() });
    }
    stand.put('other', 'a', 1);
    const copy = stand.copy();
    for (let change = 0; change < 20; change += 1) stand.put('other', 'a', change);
    const before = await createLease('one').acquire();
    stand.restore(copy);
    while ((await store.get('any')).isErr()) {
      // the first call may have used an old connection
    }
    expect(before?.isValid()).to.equal(false);
    const next = createLease('two');
    let lease = await next.acquire();
    // the previous holder may send orders until its lease expires
    expect(lease).to.equal(undefined);
    for (let tries = 0; lease === undefined && tries < 20; tries += 1) {
      await advance(1_000);
      lease = await next.acquire();
    }
    expect(lease?.fence).to.be.above(before?.fence ?? Number.NaN);
  });

  it('does not commit a write whose condition matches a reused version', async () => {
    await store.transact({ conditions: [], puts: [{ key: 'k', value: 1 }], deletes: [] });
    const copy = stand.copy();
    await store.transact({ conditions: [], puts: [{ key: 'k', value: 2 }], deletes: [] });
    const row = (await store.get('k')).unwrap();
    stand.restore(copy);
    stand.put('reedtally', 'k', 3);
    const outcome = await store.transact({
      conditions: [{ key: 'k', revision: row?.revision ?? 0 }],
      puts: [{ key: 'k', value: 4 }],
      deletes: [],
    });
    expect(outcome.kind).not.to.equal('committed');
  });

  describe('used by a gateway', () => {
    let page: ServerStandIn;
    let departed: ServerStandIn;
    let fixture: GatewayFixture;

    beforeEach(async () => {
      page = await startServerStandIn({ id: 'page-1' });
      departed = await startServerStandIn({ id: 'page-2' });
      stand.put('op', 'config', configuration(1));
      register(stand, page, 'pages');
      register(stand, departed, 'pages');
      fixture = await startGatewayFixture('node-1', stand.address);
      await until(() => countLines('serverChanged') >= 2 && countLines('routesApplied') >= 1);
    });

    afterEach(async () => {
      await fixture.gateway.stop();
      await Promise.all([page, departed].map((server) => server.close()));
    });

    function countLines(event: string): number {
      return fixture.log.lines.filter((line) => line.event === event).length;
    }

    it('does not bring back a server that has departed, although the copy has its entry', async () => {
      const copy = stand.copy();
      stand.remove('servers', 'page-2');
      await until(() => countLines('serverChanged') >= 3);
      stand.restore(copy);
      await until(() => countLines('storeRestored') > 0);
      await until(() => stand.read('reedtally', 'gateways/node-1') !== undefined);
      for (let request = 0; request < 20; request += 1) {
        await ask(fixture.settings.callers.port, { path: '/any/1', headers: heads(`r${request}`) });
      }
      expect(departed.received()).to.have.length(0);
      expect(page.received()).to.have.length(20);
    });

    it('keeps a server that was added after the copy while it can write its entry again', async () => {
      const copy = stand.copy();
      const fresh = await startServerStandIn({ id: 'page-3' });
      register(stand, fresh, 'pages');
      await until(() => countLines('serverChanged') >= 3);
      stand.restore(copy);
      await until(() => countLines('storeRestored') > 0);
      register(stand, fresh, 'pages');
      await until(() => countLines('serverLapsed') > 0 || countLines('serverChanged') > 3);
      const gone = fixture.log.lines.filter(({ fields }) => fields.state === 'gone');
      expect(gone).to.have.length(0);
      await fresh.close();
    });

    it('applies a configuration that reuses a version with other contents', async () => {
      const copy = stand.copy();
      stand.put('op', 'config', configuration(2));
      await until(() => countLines('routesApplied') >= 2);
      stand.restore(copy);
      const pages = { hostname: 'desk.example', timeoutMs: 1_500, targetLatencyMs: 400 };
      const added = {
        ...pages,
        name: 'new',
        pathPrefix: '/new/',
        backend: 'pages',
        kind: 'idempotent',
      };
      stand.put('op', 'config', configuration(2, [added]));
      const { port } = fixture.settings.callers;
      await until(async () => {
        return (await ask(port, { path: '/new/1', headers: heads('n') })).status === 200;
      });
    });

    it('gets the gateway’s address again', async () => {
      await until(() => stand.read('reedtally', 'gateways/node-1') !== undefined);
      const copy = { rows: new Map(), version: 1 };
      stand.restore(copy);
      stand.put('op', 'config', configuration(1));
      register(stand, page, 'pages');
      await until(() => stand.read('reedtally', 'gateways/node-1') !== undefined);
    });
  });
});
