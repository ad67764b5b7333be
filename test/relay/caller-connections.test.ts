// Guards against a promise to a caller whose request comes after it: what follows on a connection that was answered for
// good must not be passed on.
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createCallerConnections } from '../../src/relay/caller-connections.js';
import { openCaller } from '../fixtures/caller-connection.js';
import { until } from '../fixtures/gateway.js';

/** Time for the head of a request, in ms. */
const HEAD_LIMIT_MS = 100;

describe('a caller whose request does not come in time', () => {
  let server: Server;
  let port: number;
  /** Requests that were passed on, by path. */
  const passedOn: string[] = [];
  let first: ServerResponse | undefined;
  let unreadable = 0;
  let late = 0;

  before(async () => {
    const connections = createCallerConnections(createSilentLog());
    server = createServer(
      { connectionsCheckingInterval: HEAD_LIMIT_MS / 2 },
      (request, response) => {
        if (!connections.requestStarted(request.socket, response)) {
          late += 1;
          return;
        }
        passedOn.push(request.url ?? '');
        first = response;
      },
    );
    server.headersTimeout = HEAD_LIMIT_MS;
    server.on('clientError', (error, socket) => {
      unreadable += 1;
      connections.unreadable(socket, error);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    ({ port } = server.address() as AddressInfo);
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  it('is told that it did not run, and it does not, though the rest comes later', async () => {
    let received = '';
    // goes on writing where the other end has ended
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    socket.setEncoding('latin1').on('data', (text: string) => {
      received += text;
    });
    socket.on('error', () => undefined);
    socket.write('GET /slow HTTP/1.1\r\nHost: a\r\n');
    await until(() => received.includes('\r\n\r\n'));
    expect(received).to.match(/^HTTP\/1.1 408 /);
    socket.write('\r\n');
    await until(() => late === 1);
    expect(passedOn).to.deep.equal([]);
    socket.destroy();
  });

  it('is told nothing before the answer to an earlier request', async () => {
    const caller = await openCaller(port);
    caller.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\n');
    await until(() => passedOn.includes('/first'));
    await new Promise((resolve) => {
      setTimeout(resolve, 3 * HEAD_LIMIT_MS);
    });
    expect(caller.received()).to.equal('');
    caller.close();
  });

  // without this, the rest that came late closed the connection under the earlier request
  it('does not lose the answer to an earlier request when the rest comes', async () => {
    const [unreadableBefore, lateBefore] = [unreadable, late];
    const caller = await openCaller(port);
    caller.write('GET /earlier HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\nHost: a\r\n');
    await until(() => passedOn.includes('/earlier') && unreadable > unreadableBefore);
    caller.write('\r\n');
    await until(() => late > lateBefore);
    first?.end('answered');
    await until(() => caller.isEnded());
    expect(caller.received()).to.match(/^HTTP\/1.1 200 [^]*answered/);
    expect(passedOn).not.to.include('/slow');
  });
});
