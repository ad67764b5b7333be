// Guards against connections that stay open for a request that is not taken.
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { followConnections } from '../../src/node/connections.js';
import { until } from '../fixtures/gateway.js';

/** Time for a request to arrive, in ms. */
const READ_LIMIT_MS = 100;

describe('a connection with half a request behind one at work', () => {
  it('closes with the answer to the first, also when the rest comes meanwhile', async () => {
    const limits = {
      connectionsCheckingInterval: READ_LIMIT_MS / 2,
      headersTimeout: READ_LIMIT_MS,
    };
    let first: ServerResponse | undefined;
    let dropped = 0;
    let isClosing = false;
    const server = createServer(limits, (request, response) => {
      if (connections.takesRequests(request.socket)) first = response;
      else dropped += 1;
    });
    const connections = followConnections(server, false);
    server.on('clientError', (_error, socket) => {
      isClosing = connections.closeAfterAnswers(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let received = '';
    socket.setEncoding('latin1').on('data', (text: string) => (received += text));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n');
    await until(() => first !== undefined && isClosing);
    socket.write('\r\n');
    await until(() => dropped === 1);
    first?.end('answered');
    await closed;
    server.close();
    expect(received).to.match(/^HTTP\/1.1 200 [^]*answered/);
    expect(received).not.to.match(/HTTP[^]*HTTP/);
  });
});
