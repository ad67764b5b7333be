// Guards against acting on an answer before it is known whose it is: a faulty server sends an answer again, where that
// to the next request is due. Its words then made a request that had run pass for one that had not.
import { expect } from 'chai';
import { createCaller } from '../../platform/calls.js';
import { createEngineCalls } from '../../platform/engines.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { ask, configuration, heads, promptHeads, until } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';
import { idOf, renderAnswer, startRawServer, type RawRequest } from '../fixtures/raw-server.js';

/** Time from an answer that belongs to an earlier request to the one that is due, in ms. */
const APART_MS = 20;

function renderPage(id: string): string {
  return renderAnswer(200, { 'X-Request-Id': id, 'X-Server-Signature': 's' }, `page of ${id}`);
}

function renderDecline(id: string, more: Record<string, string> = {}): string {
  return renderAnswer(503, { 'X-Request-Id': id, 'X-Not-Executed': '1', ...more });
}

function write({ connection }: RawRequest, text: string): void {
  if (!connection.destroyed) connection.write(text);
}

function writeLater(request: RawRequest, text: string, delayMs = APART_MS): void {
  setTimeout(write, delayMs, request, text);
}

describe('an answer that belongs to another request', () => {
  let fleet: RawFleet;
  let port: number;
  let answer: (request: RawRequest) => void;

  beforeEach(async () => {
    fleet = await startRawFleet();
    port = fleet.port;
    answer = (request) => {
      write(request, renderPage(idOf(request)));
    };
  });

  afterEach(() => fleet.close());

  async function start(
    count: number,
    backend = 'pages',
    more: Record<string, unknown> = {},
  ): Promise<void> {
    for (let index = 1; index <= count; index += 1) {
      await fleet.add(`${backend}-${index}`, backend, more, (request) => {
        answer(request);
      });
    }
  }

  async function configure(route: Record<string, unknown>): Promise<void> {
    fleet.store.put('op', 'config', configuration(2, [route]));
    await until(() => fleet.gateway.log.lines.some((line) => line.fields.version === 2));
  }

  function receivedIds(): string[] {
    return fleet.servers.flatMap((server) => server.received().map(idOf));
  }

  it('does not make a request that runs pass for one that did not run', async () => {
    await start(1);
    await ask(port, { path: '/once/1', headers: heads('r1') });
    answer = (request) => {
      write(request, renderDecline('r1'));
      writeLater(request, renderPage(idOf(request)));
    };
    const second = await ask(port, { path: '/once/2', headers: heads('r2') });
    expect(second).to.include({ status: 200, body: 'page of r2', isWhole: true });
  });

  it('does not send a request that runs to another server', async () => {
    await start(2);
    await configure(twice);
    for (const id of ['r1', 'r2', 'r3', 'r4']) {
      await ask(port, { path: '/twice/1', headers: heads(id) });
    }
    answer = (request) => {
      write(request, renderDecline('r1'));
      writeLater(request, renderPage(idOf(request)));
    };
    const last = await ask(port, { path: '/twice/2', headers: heads('r5') });
    expect(last).to.include({ status: 200, body: 'page of r5' });
    expect(receivedIds().filter((id) => id === 'r5')).to.have.length(1);
  });

  it('leaves the request failed, not refused, when the answer that is due never comes', async () => {
    await start(1);
    await ask(port, { path: '/once/1', headers: heads('r1') });
    answer = (request) => {
      write(request, renderDecline('r1'));
      setTimeout(() => request.connection.destroy(), APART_MS);
    };
    const second = await ask(port, { path: '/once/2', headers: heads('r2') });
    expect(second.status).to.equal(502);
  });

  it('is not believed: neither a pause nor that the server leaves', async () => {
    await start(1);
    await ask(port, { path: '/once/1', headers: heads('r1') });
    answer = (request) => {
      write(request, renderDecline('r1', { 'Retry-After': '5', 'Server-Leaving': '1' }));
      writeLater(request, renderPage(idOf(request)));
    };
    await ask(port, { path: '/once/2', headers: heads('r2') });
    answer = (request) => {
      write(request, renderPage(idOf(request)));
    };
    const third = await ask(port, { path: '/once/3', headers: heads('r3') });
    expect(third.status).to.equal(200);
  });

  it('is not taken for one without an id, which a server sends only to a request that has none', async () => {
    await start(1);
    answer = (request) => {
      write(request, renderAnswer(503, { 'X-Not-Executed': '1' }));
      writeLater(request, renderPage(idOf(request)));
    };
    const first = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(first).to.include({ status: 200, body: 'page of r1' });
  });

  // the id of a late second answer to the first send would be the one that is expected
  it('cannot be one of the same request: a request is sent to a server once', async () => {
    await start(2);
    await configure({ ...twice, maxAttempts: 4 });
    answer = (request) => {
      write(request, renderDecline(idOf(request)));
    };
    const { status } = await ask(port, { path: '/twice/1', headers: heads('r1') });
    expect(status).to.equal(503);
    expect(fleet.servers.map((server) => server.received().length)).to.deep.equal([1, 1]);
  });

  it('gives no handle of a prompt', async () => {
    await start(2, 'chat', { stage: 'decode' });
    const reader = await fleet.add('reader', 'chat', { stage: 'prefill' }, (request) => {
      if (request.headers.get('x-stage') !== 'prefill') return;
      const isFirst = reader.received().length === 1;
      const own = renderAnswer(200, { 'X-Request-Id': idOf(request) }, renderHandle('own'));
      if (!isFirst) write(request, renderAnswer(200, {}, renderHandle('other')));
      writeLater(request, own);
    });
    answer = (request) => {
      const head = `X-Request-Id: ${idOf(request)}\r\nX-Server-Signature: s\r\n`;
      write(request, `HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\nid: 1\ndata: x\n\n`);
      request.connection.end();
    };
    for (const id of ['r1', 'r2']) {
      await ask(port, { path: '/single/1', headers: promptHeads(id) });
    }
    const sources = fleet.servers
      .flatMap((server) => server.received())
      .map(({ headers }) => headers.get('x-kv-source'))
      .filter((source) => source !== undefined);
    expect(sources).to.have.length(2);
    for (const source of sources) expect(source).to.match(/\/own$/);
  });

  it('does not keep a request waiting for ever where one follows the other', async () => {
    await start(1);
    answer = (request) => {
      const timer = setInterval(() => {
        if (request.connection.destroyed) clearInterval(timer);
        else write(request, renderDecline('other'));
      }, 1);
    };
    const first = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(first.status).to.equal(502);
    await until(() => fleet.servers[0]?.received()[0]?.connection.destroyed === true);
  });
});

describe('calls to engines and the store', () => {
  it('do not take a late second answer for their own', async () => {
    let count = 0;
    const server = await startRawServer((request) => {
      count += 1;
      const text = renderAnswer(200, {}, String(count));
      write(request, text);
      // comes once the first has been taken in, before the next call
      if (count === 1) writeLater(request, text);
    });
    const call = createCaller();
    async function send(): Promise<string> {
      const { address } = server;
      const result = await call({ address, method: 'GET', path: '/report', timeoutMs: 10_000 });
      return result.isOk() ? result.value.body : result.error.reason;
    }
    expect(await send()).to.equal('1');
    await new Promise((resolve) => setTimeout(resolve, 3 * APART_MS));
    expect(await send()).to.equal('2');
    expect(await send()).to.equal('3');
    await server.close();
  });

  // calls have no id: a state that came twice passed for the acceptance of an order that the engine had refused
  it('do not take the second answer to a question for the answer to an order', async () => {
    const state = renderAnswer(200, {}, JSON.stringify(engineState));
    const server = await startRawServer((request) => {
      const isOrder = request.path === '/order';
      const isFirst = server.received()[0]?.connection === request.connection;
      if (isOrder && isFirst) write(request, state);
      writeLater(request, isOrder ? renderAnswer(409, {}) : state);
    });
    const calls = createEngineCalls(createCaller());
    const engine = { id: 'engine-1', service: 'chat', address: server.address } as RegisteredServer;
    expect((await calls.state(engine)).isOk()).to.equal(true);
    const answered = await calls.order(engine, {
      role: 'decode',
      holder: 'node-1',
      fence: 1,
      ordersBefore: 0,
    });
    expect(answered).to.deep.equal({ kind: 'refused', status: 409 });
    await server.close();
  });
});

const engineState = { stage: 'prefill', busy: false, sequence: 0 };

const twice = {
  hostname: 'desk.example',
  timeoutMs: 1_500,
  targetLatencyMs: 400,
  name: 'twice',
  pathPrefix: '/twice/',
  kind: 'non_idempotent',
  backend: 'pages',
  priority: 2,
  maxAttempts: 2,
};

function renderHandle(kvHandle: string): string {
  return JSON.stringify({ kvHandle, tokens: 1, version: 1 });
}
