// Guards against words that mean one thing between a server and a gateway and another between a gateway and a caller:
// each may reach only the side that it is for.
import { expect } from 'chai';
import { openCaller } from '../fixtures/caller-connection.js';
import { ask, heads, until } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';
import { idOf, renderAnswer, type RawRequest } from '../fixtures/raw-server.js';

const signed = { 'X-Server-Signature': 's' };

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
