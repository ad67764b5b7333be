import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createCaller } from '../../platform/calls.js';

/** Answers calls until it falls silent; from then on open connections bring nothing more. */
async function startFallingSilent(): Promise<{
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

describe('calls over kept connections', () => {
  let stop = (): void => undefined;

  afterEach(() => {
    stop();
  });

  it('use a new connection after one has fallen silent', async () => {
    const { server, address, silence } = await startFallingSilent();
    stop = () => {
      server.closeAllConnections();
      server.close();
    };
    const call = createCaller();
    function ask(timeoutMs: number) {
      return call({ address, method: 'GET', path: '/', timeoutMs });
    }
    // two at once leave two kept connections behind
    await Promise.all([ask(10_000), ask(10_000)]);
    silence();
    expect((await ask(50)).isErr()).to.equal(true);
    expect((await ask(10_000)).isOk()).to.equal(true);
  });
});
