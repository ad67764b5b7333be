// Guards against words that mean one thing between a server and a gateway and another between a gateway and a caller:
// each may reach only the side that it is for.
import { expect } from 'chai';
import type { SeenAnswer } from '../../tools/soak/callers.js';
import { openCaller, type CallerConnection } from '../fixtures/caller-connection.js';
import { ask, heads, until } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';
import { idOf, renderAnswer, type RawRequest } from '../fixtures/raw-server.js';

const signed = { 'X-Server-Signature': 's' };
const declined = { 'X-Not-Executed': '1' };

function render(request: RawRequest, status: number, headers: Record<string, string> = {}): string {
  return renderAnswer(status, { 'X-Request-Id': idOf(request), ...headers }, `of ${idOf(request)}`);
}

function write({ connection }: RawRequest, text: string): void {
  if (!connection.destroyed) connection.write(text);
}

/** Starts servers of a service, which all answer alike. */
async function startServers(
  fleet: RawFleet,
  answer: (request: RawRequest) => void,
  { backend = 'pages', count = 1, more = {} } = {},
): Promise<void> {
  for (let index = 1; index <= count; index += 1) {
    await fleet.add(`${backend}-${index}`, backend, more, answer);
  }
}

function receivedIds(fleet: RawFleet): string[] {
  return fleet.servers.flatMap((server) => server.received().map(idOf));
}

describe('interim answers of a server', () => {
  let fleet: RawFleet;
  let answer: (request: RawRequest) => void;

  beforeEach(async () => {
    fleet = await startRawFleet();
    await startServers(fleet, (request) => {
      answer(request);
    });
  });

  afterEach(() => fleet.close());

  function renderInterim(status: number, request: RawRequest): string {
    return `HTTP/1.1 ${status} Interim\r\nX-Request-Id: ${idOf(request)}\r\nX-Not-Executed: 1\r\n\r\n`;
  }

  it('say nothing: the answer is the one behind them', async () => {
    for (const statuses of [[100], [102], [103], [100, 102, 103, 103]]) {
      answer = (request) => {
        const interim = statuses.map((status) => renderInterim(status, request)).join('');
        write(request, interim);
        setTimeout(write, 5, request, render(request, 200, signed));
      };
      const id = statuses.join('-');
      const seen = await ask(fleet.port, { path: '/once/1', headers: heads(id) });
      expect(seen).to.include({ status: 200, body: `of ${id}` });
      expect(seen.headers).not.to.have.property('x-not-executed');
      expect(receivedIds(fleet).filter((received) => received === id)).to.have.length(1);
    }
  });

  it('make no request pass for one that did not run', async () => {
    for (const status of [100, 102, 103, 101]) {
      answer = (request) => {
        write(request, renderInterim(status, request));
        setTimeout(() => request.connection.destroy(), 5);
      };
      const id = `lost-${status}`;
      const seen = await ask(fleet.port, { path: '/once/1', headers: heads(id) });
      expect(seen.status, `${status}`).to.equal(502);
      expect(receivedIds(fleet).filter((received) => received === id)).to.have.length(1);
    }
  });

  it('do not take a request to another protocol', async () => {
    answer = (request) => {
      const upgrade = 'Connection: Upgrade\r\nUpgrade: other\r\n';
      const head = `X-Request-Id: ${idOf(request)}\r\nX-Not-Executed: 1\r\n${upgrade}`;
      write(request, `HTTP/1.1 101 Switching Protocols\r\n${head}\r\n`);
      setTimeout(write, 5, request, render(request, 200, signed));
    };
    const seen = await ask(fleet.port, { path: '/once/1', headers: heads('r1') });
    expect(seen.status).to.equal(502);
  });

  it('are no answers: a caller gets no protocol that it did not ask for', async () => {
    answer = (request) => {
      write(request, render(request, 101, signed));
    };
    const caller = await openCaller(fleet.port);
    caller.send('r1');
    await until(() => caller.received().includes('\r\n\r\n'));
    expect(caller.received()).to.match(/^HTTP\/1.1 502 /);
    caller.close();
  });

  it('without end end with the request', async () => {
    answer = (request) => {
      const timer = setInterval(() => {
        if (request.connection.destroyed) clearInterval(timer);
        else write(request, renderInterim(103, request).repeat(20));
      }, 1);
    };
    const seen = await ask(fleet.port, { path: '/once/1', headers: heads('r1') });
    expect(seen.status).to.equal(504);
    await until(() => fleet.servers[0]?.received()[0]?.connection.destroyed === true);
  });
});

describe('what a server says to gateways', () => {
  let fleet: RawFleet;
  let answer: (request: RawRequest) => void;

  beforeEach(async () => {
    fleet = await startRawFleet();
    await startServers(
      fleet,
      (request) => {
        answer(request);
      },
      { count: 2 },
    );
  });

  afterEach(() => fleet.close());

  function askThatSays(
    status: number,
    headers: Record<string, string>,
    question: { path?: string; method?: string } = {},
  ): Promise<SeenAnswer> {
    answer = (request) => {
      write(request, render(request, status, { ...signed, ...headers }));
    };
    return ask(fleet.port, { path: '/any/1', headers: heads('r1'), ...question });
  }

  for (const status of [200, 500, 503]) {
    it(`of its limit and leaving, which callers do not read, is left as it is: ${status}`, async () => {
      const said = { 'Server-Limit': '3000', 'Server-Leaving': '0' };
      const seen = await askThatSays(status, said);
      expect(seen).to.include({ status, body: 'of r1' });
      expect(seen.headers).to.include({ 'server-limit': '3000', 'server-leaving': '0' });
    });
  }

  it('of how long this gateway is to leave it alone reaches no caller', async () => {
    const seen = await askThatSays(503, { 'Retry-After': '7' });
    expect(seen).to.include({ status: 503, body: 'of r1' });
    expect(seen.headers).to.include({ 'x-server-signature': 's' });
    expect(seen.headers).not.to.have.property('retry-after');
  });

  it('leaves alone what it says to callers', async () => {
    for (const status of [200, 429, 500]) {
      const said = { 'Retry-After': '7', 'X-Weight-Versions': '3', 'X-Instance-Load': '1,0,8' };
      const { headers } = await askThatSays(status, said);
      expect(headers).to.include({ 'retry-after': '7', 'x-weight-versions': '3' });
    }
  });

  it('does not close the connection of a caller', async () => {
    const caller = await openCaller(fleet.port);
    for (const status of [200, 500]) {
      answer = (request) => {
        const ofConnection = {
          Connection: 'close, X-Hop',
          'Keep-Alive': 'timeout=1',
          'X-Hop': '1',
        };
        write(request, render(request, status, { ...signed, ...ofConnection }));
      };
      caller.send(`r${status}`);
      await until(() => caller.received().endsWith(`of r${status}`));
    }
    const lines = caller.received().toLowerCase().split('\r\n');
    expect(lines.filter((line) => line.startsWith('connection:'))).to.deep.equal([
      'connection: keep-alive',
      'connection: keep-alive',
    ]);
    expect(lines.filter((line) => line.startsWith('keep-alive:'))).to.deep.equal([
      'keep-alive: timeout=15',
      'keep-alive: timeout=15',
    ]);
    expect(lines.filter((line) => line.startsWith('x-hop:'))).to.deep.equal([]);
    caller.close();
  });

  it('does not take the signature or the id from an answer', async () => {
    const listed = 'close, X-Server-Signature, X-Request-Id';
    const seen = await askThatSays(200, { Connection: listed });
    expect(seen.headers).to.include({ 'x-server-signature': 's', 'x-request-id': 'r1' });
  });

  it('keeps the length of what was not asked for', async () => {
    answer = (request) => {
      const { 'X-Server-Signature': signature } = signed;
      const head = `X-Request-Id: ${idOf(request)}\r\nX-Server-Signature: ${signature}\r\n`;
      write(request, `HTTP/1.1 200 OK\r\n${head}Content-Length: 17\r\n\r\n`);
    };
    const seen = await ask(fleet.port, { path: '/any/1', method: 'HEAD', headers: heads('r1') });
    expect(seen).to.include({ status: 200, body: '', isWhole: true });
    expect(seen.headers).to.include({ 'content-length': '17', 'x-server-signature': 's' });
    answer = (request) => {
      const head = `X-Request-Id: ${idOf(request)}\r\nX-Server-Signature: s\r\n`;
      write(request, `HTTP/1.1 304 Not Modified\r\n${head}Content-Length: 17\r\n\r\n`);
    };
    const unchanged = await ask(fleet.port, { path: '/any/1', headers: heads('r2') });
    expect(unchanged).to.include({ status: 304, body: '', isWhole: true });
    expect(unchanged.headers).to.include({ 'x-server-signature': 's' });
  });

  it('is no success in an encoding that nobody asked for', async () => {
    const seen = await askThatSays(200, { 'Content-Encoding': 'gzip' }, { path: '/once/1' });
    expect(seen.status).to.equal(502);
    expect(seen.headers).not.to.have.property('x-server-signature');
    expect(receivedIds(fleet)).to.deep.equal(['r1']);
  });

  it('is believed with a status of success: not run is not run', async () => {
    const seen = await askThatSays(200, declined, { path: '/once/1' });
    expect(seen.status).to.equal(503);
    expect(seen.headers).not.to.have.any.keys('x-server-signature', 'x-not-executed');
  });
});

describe('a server that says that it is another one', () => {
  let fleet: RawFleet;
  let answer: (request: RawRequest) => void;

  beforeEach(async () => {
    fleet = await startRawFleet();
    await startServers(
      fleet,
      (request) => {
        answer(request);
      },
      { count: 2 },
    );
  });

  afterEach(() => fleet.close());

  it('is asked no more where it names the other one, and is kept where it does not', async () => {
    for (const [headers, isGone] of [
      [{}, false],
      [{ 'X-Instance-Id': 'asked' }, false],
      [{ 'X-Instance-Id': 'another' }, true],
    ] as const) {
      answer = (request) => {
        const { 'X-Instance-Id': named }: { 'X-Instance-Id'?: string } = headers;
        const asked = request.headers.get('x-target-instance') ?? '';
        const instance =
          named === undefined ? {} : { 'X-Instance-Id': named === 'asked' ? asked : named };
        write(request, render(request, 421, instance));
      };
      const seen = await ask(fleet.port, {
        path: '/once/1',
        method: 'POST',
        body: 'body',
        headers: heads(`r-${JSON.stringify(headers)}`),
      });
      expect(seen.status).to.equal(503);
      expect(seen.headers).to.have.property('retry-after');
      const isRetired = fleet.gateway.log.lines.some(({ event }) => event === 'serverRetired');
      expect(isRetired).to.equal(isGone);
    }
  });

  it('is not believed where it has signed: it has run the request', async () => {
    answer = (request) => {
      write(request, render(request, 421, signed));
    };
    const seen = await ask(fleet.port, { path: '/once/1', headers: heads('r1') });
    expect(seen.status).to.equal(502);
    expect(receivedIds(fleet)).to.deep.equal(['r1']);
  });
});

describe('a connection of a caller', () => {
  let fleet: RawFleet;
  let caller: CallerConnection;
  const held = new Map<string, RawRequest>();

  beforeEach(async () => {
    held.clear();
    fleet = await startRawFleet();
    await startServers(fleet, (request) => {
      held.set(idOf(request), request);
    });
    caller = await openCaller(fleet.port);
  });

  afterEach(() => {
    caller.close();
    return fleet.close();
  });

  /** Answers a request that a server has received. */
  async function answerHeld(id: string): Promise<void> {
    await until(() => held.has(id));
    const request = held.get(id);
    if (request !== undefined) write(request, render(request, 200, signed));
  }

  function findIds(): string[] {
    return [...caller.received().matchAll(/X-Request-Id: (\S+)/gi)].map(([, id = '']) => id);
  }

  it('gives each request its own answer, in their order', async () => {
    caller.send('r1');
    caller.send('r2');
    await answerHeld('r2');
    await answerHeld('r1');
    await until(() => caller.received().endsWith('of r2'));
    expect(findIds()).to.deep.equal(['r1', 'r2']);
  });

  it('has no answer to bytes behind a request that is at work', async () => {
    caller.send('r1');
    await until(() => held.has('r1'));
    caller.write('no request\r\n\r\n');
    await until(() => fleet.gateway.log.lines.some(({ event }) => event === 'requestMalformed'));
    await answerHeld('r1');
    await until(() => caller.isEnded());
    expect(caller.received()).to.match(/^HTTP\/1.1 200 [^]*of r1$/);
  });

  it('has no answer to bytes within an answer that has begun', async () => {
    caller.send('r1');
    await until(() => held.has('r1'));
    const request = held.get('r1');
    const head = 'X-Request-Id: r1\r\nX-Server-Signature: s\r\nContent-Length: 100010\r\n';
    if (request !== undefined)
      write(request, `HTTP/1.1 200 OK\r\n${head}\r\n${'a'.repeat(100_000)}`);
    await until(() => caller.received().endsWith('aaa'));
    caller.write('no request\r\n\r\n');
    await until(() => fleet.gateway.log.lines.some(({ event }) => event === 'requestMalformed'));
    if (request !== undefined) write(request, 'b'.repeat(10));
    await until(() => caller.isEnded());
    expect(caller.received()).to.match(/^HTTP\/1.1 200 [^]*ab{10}$/);
  });

  it('that closes behind such bytes ends the request that is at work', async () => {
    caller.send('r1');
    await until(() => held.has('r1'));
    caller.write('no request\r\n\r\n');
    await until(() => fleet.gateway.log.lines.some(({ event }) => event === 'requestMalformed'));
    caller.end();
    await until(() => held.get('r1')?.connection.destroyed === true);
  });

  it('with several requests at work gets all their answers before it closes', async () => {
    caller.send('r1');
    caller.send('r2');
    caller.write('no request\r\n\r\n');
    await answerHeld('r2');
    await answerHeld('r1');
    await until(() => caller.isEnded());
    expect(findIds()).to.deep.equal(['r1', 'r2']);
    expect(caller.received()).to.match(/of r2$/);
  });

  it('is told that a body cannot be read, unless an earlier request is at work', async () => {
    const lines = Object.entries(heads('broken')).map(([name, value]) => `${name}: ${value}\r\n`);
    const head = `POST /once/1 HTTP/1.1\r\n${lines.join('')}Transfer-Encoding: chunked\r\n\r\n`;
    caller.send('r1');
    await until(() => held.has('r1'));
    caller.write(`${head}no length\r\n`);
    await until(() => fleet.gateway.log.lines.some(({ event }) => event === 'requestMalformed'));
    await answerHeld('r1');
    await until(() => caller.isEnded());
    expect(caller.received()).to.match(/^HTTP\/1.1 200 [^]*of r1$/);
    const other = await openCaller(fleet.port);
    other.write(`${head}no length\r\n`);
    await until(() => other.isEnded());
    expect(other.received()).to.match(/^HTTP\/1.1 400 /);
    expect(receivedIds(fleet)).to.deep.equal(['r1']);
  });

  it('is told that what it sent cannot be read where no request is at work', async () => {
    caller.write('no request\r\n\r\n');
    await until(() => caller.isEnded());
    expect(caller.received()).to.match(/^HTTP\/1.1 400 /);
  });
});
