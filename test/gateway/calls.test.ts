import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createCaller } from '../../platform/calls.js';

/** Starts a server that answers until `silence` is called; connections open at that time get no more responses. */
async function startSilenceableServer(): Promise<{
  server: Server;
  address: string;
  silence: () => void;
}> {
  const open = new Set<Socket>();
  const silent = new Set<Socket>();
  const server = createServer((request, response) => {
    if (silent.has(request.socket)) return;
    setTimeout(() => response.end('{}'), 20);
  });
  server.on('connection', (socket) => open.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    server,
    address: `127.0.0.1:${port}`,
    silence() {
      for (const socket of open) silent.add(socket);
    },
  };
}

describe('calls over keep-alive connections', () => {
  let stop = (): void => undefined;

  afterEach(() => {
    stop();
  });

  it('use a new connection after one went silent', async () => {
    const { server, address, silence } = await startSilenceableServer();
    stop = () => {
      server.closeAllConnections();
      server.close();
    };
    const call = createCaller();
    function send(timeoutMs: number) {
      return call({ address, method: 'GET', path: '/', timeoutMs });
    }
    // two concurrent calls leave two keep-alive connections
    await Promise.all([send(10_000), send(10_000)]);
    silence();
    expect((await send(50)).isErr()).to.equal(true);
    expect((await send(10_000)).isOk()).to.equal(true);
  });
});
