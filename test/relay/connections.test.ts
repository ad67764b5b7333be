import { expect } from 'chai';
import { request } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { createConnections } from '../../src/relay/connections.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

describe('connections to a restarted server', () => {
  let server: Server;
  const open = new Set<Socket>();

  beforeEach(async () => {
    server = createServer((socket) => open.add(socket));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    for (const socket of open) socket.destroy();
    open.clear();
    server.close();
  });

  it('resets connections to the old incarnation and keeps those to its successor', async () => {
    const { clock, advance } = createFakeClock();
    const connections = createConnections(() => 4, clock);
    const errors: string[] = [];
    const { port } = server.address() as AddressInfo;

    function send(name: string): Promise<void> {
      const agent = connections.agentFor('s@1');
      const outgoing = request({ host: '127.0.0.1', port, path: `/${name}`, agent });
      outgoing.on('error', (error: NodeJS.ErrnoException) => errors.push(`${name} ${error.code}`));
      outgoing.end();
      return new Promise((resolve) => {
        outgoing.on('socket', (socket) => socket.once('connect', resolve));
      });
    }

    await send('before');
    await advance(1_000);
    await send('since');
    connections.resetStale('s@1', 400);
    connections.drop('s@1');
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(errors).to.deep.equal(['before ECONNRESET']);
    connections.close();
  });

  it('keeps connections up to the limit, those that were just made included', async () => {
    const { clock } = createFakeClock();
    const { port } = server.address() as AddressInfo;
    server.removeAllListeners('connection');
    let opened = 0;
    server.on('connection', (socket) => {
      opened += 1;
      open.add(socket);
      socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'));
    });
    const connections = createConnections(
      () => 2,
      clock,
      () => ({
        connect: () =>
          new Promise((resolve) => {
            const socket = connect(port, '127.0.0.1', () => {
              resolve(socket);
            });
          }),
        isPathLost: () => false,
      }),
    );

    function send(): Promise<void> {
      const agent = connections.agentFor('s');
      const outgoing = request({ host: '127.0.0.1', port, agent }, (response) => response.resume());
      outgoing.end();
      return new Promise((resolve) => outgoing.on('close', resolve));
    }

    for (let round = 0; round < 5; round += 1) await Promise.all([send(), send(), send()]);
    expect(opened).to.equal(2);
    connections.close();
  });
});
