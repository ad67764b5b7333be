// Guards against servers whose answers never end: their bytes were gathered without a bound, until the gateway ran out of
// memory, and the callers had no answer before their time limits.
import { expect } from 'chai';
import { createCaller } from '../../platform/calls.js';
import { createEventSplitter, MAX_EVENT_BYTES } from '../../src/relay/event-stream.js';
import { ask, heads, promptHeads, sendRaw, until } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';
import {
  beginWithoutEnd,
  BLANK_LINES,
  MAX_TAKEN_BYTES,
  writeWithoutEnd,
} from '../fixtures/endless.js';
import {
  idOf,
  renderAnswer,
  startRawServer,
  type RawRequest,
  type RawServer,
} from '../fixtures/raw-server.js';

describe('an answer that never ends', () => {
  let fleet: RawFleet;
  let port: number;
  let answer: (request: RawRequest) => void;

  beforeEach(async () => {
    fleet = await startRawFleet();
    port = fleet.port;
  });

  afterEach(() => fleet.close());

  async function start(backend = 'pages', more: Record<string, unknown> = {}): Promise<void> {
    await fleet.add(`${backend}-1`, backend, more, (request) => {
      answer(request);
    });
  }

  /** Waits until the gateway has closed all connections on which an answer did not end. */
  async function closed(): Promise<void> {
    for (const { connection } of fleet.servers.flatMap((server) => server.received())) {
      await until(() => connection.destroyed);
      expect(connection.bytesWritten).to.be.below(MAX_TAKEN_BYTES);
    }
  }

  it('with which a server fails ends the request, which may have run', async () => {
    await start();
    answer = (request) => {
      beginWithoutEnd(request, 500, `X-Request-Id: ${idOf(request)}\r\nX-Server-Signature: s\r\n`);
    };
    const { status } = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(status).to.equal(502);
    await closed();
  });

  it('by which a server turns a request away still says that it has not run', async () => {
    await start();
    answer = (request) => {
      beginWithoutEnd(request, 503, `X-Request-Id: ${idOf(request)}\r\nX-Not-Executed: 1\r\n`);
    };
    const { status } = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(status).to.equal(503);
    await closed();
  });

  it('by which a server turns a request away does so at once, though no byte of its body comes', async () => {
    await start();
    answer = (request) => {
      const head = `X-Request-Id: ${idOf(request)}\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n`;
      request.connection.write(`HTTP/1.1 503 Status\r\n${head}\r\n`);
    };
    const { status } = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(status).to.equal(503);
    await closed();
  });

  it('is logged with its server where nobody waits for its end', async () => {
    await start();
    for (const body of ['too large', 'never comes']) {
      answer = (request) => {
        const head = `X-Request-Id: ${idOf(request)}\r\nX-Not-Executed: 1\r\n`;
        if (body === 'too large') beginWithoutEnd(request, 503, head);
        else request.connection.write(`HTTP/1.1 503 Status\r\n${head}Content-Length: 5\r\n\r\n`);
      };
      await ask(port, { path: '/once/1', headers: heads(body.replace(' ', '-')) });
    }
    await closed();
    const { lines } = fleet.gateway.log;
    const abandoned = lines.filter(({ event }) => event === 'answerRestAbandoned');
    expect(abandoned.map(({ fields }) => fields)).to.deep.equal([
      { request: 'too-large', server: 'pages-1', reason: 'it was too large' },
      { request: 'never-comes', server: 'pages-1', reason: 'it had not ended after 1000 ms' },
    ]);
  });

  it('of another request ends the request, which may have run', async () => {
    await start();
    answer = (request) => {
      beginWithoutEnd(request, 200, 'X-Request-Id: other\r\n');
    };
    const { status } = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(status).to.equal(502);
    await closed();
  });

  it('with a head that never ends ends the request', async () => {
    await start();
    answer = ({ connection }) => {
      connection.write('HTTP/1.1 200 Status\r\nX-A: ');
      writeWithoutEnd(connection);
    };
    const { status } = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(status).to.equal(502);
    await closed();
  });

  it('behind blank lines without end ends the request', async () => {
    await start();
    answer = ({ connection }) => {
      writeWithoutEnd(connection, BLANK_LINES);
    };
    const { status } = await ask(port, { path: '/once/1', headers: heads('r1') });
    expect(status).to.equal(502);
    await closed();
  });

  it('with an event that never ends ends the stream', async () => {
    await start('chat', { stage: 'decode' });
    answer = (request) => {
      beginWithoutEnd(request, 200, `X-Request-Id: ${idOf(request)}\r\nX-Server-Signature: s\r\n`);
    };
    const { status } = await ask(port, { path: '/single/1', headers: promptHeads('r1') });
    expect(status).to.equal(502);
    await closed();
  });

  it('in events as small as blank lines is passed on with one write for those that came together', async () => {
    await start('chat', { stage: 'decode' });
    const blankLines = '\n'.repeat(20_000);
    answer = (request) => {
      const head = `X-Request-Id: ${idOf(request)}\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked`;
      const chunk = `${blankLines.length.toString(16)}\r\n${blankLines}\r\n0\r\n\r\n`;
      request.connection.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${chunk}`);
    };
    const headers = { ...promptHeads('r1'), Connection: 'close' };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const received = await sendRaw(port, `GET /single/1 HTTP/1.1\r\n${lines.join('')}\r\n`);
    const body = received.slice(received.indexOf('\r\n\r\n') + 4);
    expect(body.replace(/[^\n]/g, '').length).to.be.at.least(blankLines.length);
    expect(body.length).to.be.below(2 * blankLines.length);
  });

  it('to the reading of a prompt ends it', async () => {
    await start('chat', { stage: 'prefill' });
    await fleet.add('generator', 'chat', { stage: 'decode' }, (request) => {
      const head = `X-Request-Id: ${idOf(request)}\r\nX-Server-Signature: s\r\n`;
      request.connection.end(`HTTP/1.1 200 OK\r\n${head}\r\nid: 1\ndata: x\n\n`);
    });
    answer = (request) => {
      beginWithoutEnd(request, 200, `X-Request-Id: ${idOf(request)}\r\n`);
    };
    const { status } = await ask(port, { path: '/resumable/1', headers: promptHeads('r1') });
    const reads = fleet.servers[0]?.received().filter(({ headers }) => headers.has('x-stage'));
    expect(reads).to.have.length(1);
    expect(status).to.equal(200);
    await closed();
  });
});

describe('a call whose answer never ends', () => {
  async function closesFor(server: RawServer): Promise<void> {
    const [request] = server.received();
    await until(() => request?.connection.destroyed === true);
    expect(request?.connection.bytesWritten).to.be.below(MAX_TAKEN_BYTES);
    await server.close();
  }

  it('fails, and its connection is closed', async () => {
    const server = await startRawServer((request) => {
      beginWithoutEnd(request, 200, '');
    });
    const call = createCaller();
    const { address } = server;
    const result = await call({ address, method: 'GET', path: '/', timeoutMs: 20_000 });
    expect(result.isErr() && result.error).to.deep.include({ sent: true });
    const [request] = server.received();
    await until(() => request?.connection.destroyed === true);
    expect(request?.connection.bytesWritten).to.be.below(MAX_TAKEN_BYTES);
    await server.close();
  });

  it('behind blank lines without end fails', async () => {
    const server = await startRawServer(({ connection }) => {
      writeWithoutEnd(connection, BLANK_LINES);
    });
    const { address } = server;
    const result = await createCaller()({ address, method: 'GET', path: '/', timeoutMs: 20_000 });
    expect(result.isErr() && result.error.reason).to.equal('no answer within 131072 bytes');
    await closesFor(server);
  });

  it('but for what follows it without end is taken, and its connection closed', async () => {
    const server = await startRawServer(({ connection }) => {
      connection.write(renderAnswer(200, {}, 'whole'));
    });
    const { address } = server;
    const result = await createCaller()({ address, method: 'GET', path: '/', timeoutMs: 20_000 });
    expect(result.isOk() && result.value.body).to.equal('whole');
    const [request] = server.received();
    if (request !== undefined) writeWithoutEnd(request.connection);
    await closesFor(server);
  });

  it('does not keep an ordinary answer from being taken', async () => {
    const body = 'x'.repeat(1024 * 1024);
    const server = await startRawServer(({ connection }) => {
      connection.write(renderAnswer(200, {}, body));
    });
    const { address } = server;
    const result = await createCaller()({ address, method: 'GET', path: '/', timeoutMs: 20_000 });
    expect(result.isOk() && result.value.body.length).to.equal(body.length);
    await server.close();
  });
});

describe('an event that comes a piece at a time', () => {
  it('is kept up to the largest size', () => {
    const splitter = createEventSplitter();
    const piece = Buffer.alloc(64, 'x');
    let kept = 0;
    while (kept + piece.length < MAX_EVENT_BYTES) {
      expect(splitter.push(piece)).to.deep.equal([]);
      kept += piece.length;
    }
    expect(splitter.waitingBytes()).to.equal(kept);
    const [event] = splitter.push(Buffer.from('\n\n'));
    expect(event?.bytes).to.have.length(kept + 2);
  });
});
