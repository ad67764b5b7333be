import { expect } from 'chai';
import { request } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
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
});
