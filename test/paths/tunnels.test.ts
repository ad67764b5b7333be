import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { WebSocketServer } from 'ws';
import { createSilentLog, type Log } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createMemoryBudget } from '../../src/memory/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import {
  createTunnelDialer,
  createTunnelHost,
  type TunnelDialer,
  type TunnelHost,
  type TunnelStream,
} from '../../src/paths/index.js';
import { TUNNEL_HEADER } from '../../src/paths/tunnel-protocol.js';
import type { GatewayState } from '../../src/peers/index.js';
import { createSystemClock, createSystemRandom } from '../../src/task/index.js';
import { createKeptLog, until } from '../fixtures/gateway.js';

function portOf(server: { address(): AddressInfo | string | null }): number {
  return (server.address() as AddressInfo).port;
}

function listen(server: Server | HttpServer): Promise<void> {
  return new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
}

describe('tunnels to backend servers through peers', () => {
  const clock = createSystemClock();
  const connections: Socket[] = [];
  let backend: Server;
  let server: RegisteredServer;
  let front: HttpServer;
  let host: TunnelHost;
  let dialer: TunnelDialer;
  let isPathLost = false;
  let isAvailable = true;
  let isStopping = false;

  function createPeer(node: string, port: number): GatewayState {
    return { node, address: `127.0.0.1:${port}`, zone: node, isReady: true } as GatewayState;
  }

  function createDialer(
    peers: readonly GatewayState[],
    log: Log = createSilentLog(),
  ): TunnelDialer {
    return createTunnelDialer({
      clock,
      random: createSystemRandom(),
      log,
      zone: 'zone-a',
      peers: () => peers,
      retired: () => undefined,
    });
  }

  beforeEach(async () => {
    connections.length = 0;
    isPathLost = false;
    isAvailable = true;
    isStopping = false;
    backend = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined);
      connections.push(socket);
    });
    await listen(backend);
    server = { id: 's@1', address: `127.0.0.1:${portOf(backend)}`, zone: 'zone-a' } as never;
    host = createTunnelHost({
      clock,
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      fleet: { find: () => server, isAvailable: () => isAvailable },
      isPathLost: () => isPathLost,
      isStopping: () => isStopping,
      memory: createMemoryBudget(Number.POSITIVE_INFINITY),
    });
    front = createHttpServer();
    front.on('upgrade', host.upgradeRequested.bind(host));
    await listen(front);
    dialer = createDialer([createPeer('peer', portOf(front))]);
  });

  afterEach(() => {
    host.close();
    for (const socket of connections) socket.destroy();
    backend.close();
    front.close();
    front.closeAllConnections();
  });

  async function open(): Promise<{ tunnel: TunnelStream; atServer: Socket; ends: string[] }> {
    const tunnel = (await dialer.dial(server)).unwrap();
    await until(() => connections.length === 1);
    const [atServer] = connections;
    if (atServer === undefined) throw new Error('the server has no connection');
    const ends: string[] = [];
    tunnel.on('end', () => ends.push('end'));
    tunnel.on('error', ({ code }: NodeJS.ErrnoException) => ends.push(code ?? 'error'));
    return { tunnel, atServer, ends };
  }

  it('carry bytes both ways and end in order where the server does', async () => {
    const { tunnel, atServer, ends } = await open();
    const sent = Buffer.alloc(3_000_000, 'q');
    let received = 0;
    atServer.on('data', (chunk) => {
      received += chunk.length;
      if (received === sent.length) atServer.end('whole answer');
    });
    let answer = '';
    tunnel.on('data', (chunk: Buffer) => (answer += chunk.toString()));
    tunnel.write(sent);
    await until(() => ends.length > 0);
    expect(answer).to.equal('whole answer');
    expect(ends).to.deep.equal(['end']);
  });

  it('carry a large body in pieces, since the peer receives each one whole', async () => {
    const sizes: number[] = [];
    const peer = new WebSocketServer({ port: 0, host: '127.0.0.1' });
    peer.on('connection', (webSocket) => {
      webSocket.on('message', (data: Buffer) => sizes.push(data.length));
    });
    peer.on('headers', (headers) => headers.push(`${TUNNEL_HEADER}: 1`));
    await until(() => peer.address() !== null);
    const tunnel = (await createDialer([createPeer('peer', portOf(peer))]).dial(server)).unwrap();
    const body = Buffer.alloc(3_000_000, 'q');
    tunnel.cork();
    tunnel.write(body);
    tunnel.write(body);
    tunnel.uncork();
    await until(() => sizes.reduce((sum, size) => sum + size, 0) === 2 * body.length);
    tunnel.destroy();
    peer.close();
    expect(Math.max(...sizes)).to.be.at.most(65_536);
  });

  it('end with a reset where the server resets, even behind bytes', async () => {
    const { tunnel, atServer, ends } = await open();
    tunnel.resume();
    atServer.write('part of an answer', () => atServer.resetAndDestroy());
    await until(() => ends.length > 0);
    expect(ends).to.deep.equal(['ECONNRESET']);
  });

  it('end with a reset where the gateway that carries them dies', async () => {
    const { tunnel, atServer, ends } = await open();
    tunnel.resume();
    atServer.write('part of an answer');
    host.close();
    await until(() => ends.length > 0);
    expect(ends).to.deep.equal(['ECONNRESET']);
  });

  it('end with a reset where the peer is lost', async () => {
    const { ends } = await open();
    dialer.peerLost('peer');
    await until(() => ends.length > 0);
    expect(ends).to.deep.equal(['ECONNRESET']);
  });

  it('close the connection to the server as soon as the request is given up', async () => {
    const { tunnel, atServer } = await open();
    atServer.resume();
    tunnel.destroy();
    await until(() => atServer.readableEnded || atServer.destroyed);
  });

  it('hold the server back while the caller does not read', async () => {
    const { tunnel, atServer } = await open();
    tunnel.pause();
    const chunk = Buffer.alloc(1_000_000, 'a');
    let isHeldBack = false;
    for (let count = 0; count < 200 && !isHeldBack; count += 1) {
      isHeldBack = await Promise.race([
        new Promise<boolean>((resolve) =>
          atServer.write(chunk, () => {
            resolve(false);
          }),
        ),
        new Promise<boolean>((resolve) =>
          setTimeout(() => {
            resolve(true);
          }, 300),
        ),
      ]);
    }
    expect(isHeldBack).to.equal(true);
    tunnel.destroy();
  });

  it('leave no connection behind where the gateway that asked has given up', async () => {
    const asking = connect(portOf(front), '127.0.0.1', () => {
      const upgrade = 'Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13';
      const key = 'Sec-WebSocket-Key: c2l4dGVlbiBieXRlcyE=';
      asking.end(`GET /tunnels/s%401 HTTP/1.1\r\nHost: peer\r\n${upgrade}\r\n${key}\r\n\r\n`);
    });
    asking.on('error', () => undefined);
    await until(() => connections.length === 1);
    const [atServer] = connections;
    atServer?.resume();
    await until(() => atServer?.readableEnded === true || atServer?.destroyed === true);
    asking.destroy();
  });

  it('answer a request for no server without harm', async () => {
    const asking = connect(portOf(front), '127.0.0.1', () => {
      asking.write(
        'GET /tunnels/%E0%A4%A HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n',
      );
    });
    asking.on('error', () => undefined);
    await until(() => asking.destroyed);
  });

  it('never lead over a further gateway', async () => {
    isPathLost = true;
    const result = await dialer.dial(server);
    expect(result.isErr() && result.error.kind).to.equal('unavailable');
  });

  it('do not lead to a server that the peer knows to leave', async () => {
    isAvailable = false;
    const result = await dialer.dial(server);
    expect(result.isErr() && result.error.kind).to.equal('unavailable');
    expect(connections).to.have.length(0);
  });

  it('are not opened by a gateway that stops', async () => {
    isStopping = true;
    const result = await dialer.dial(server);
    expect(result.isErr() && result.error.kind).to.equal('unavailable');
  });

  it('are not taken from a gateway of an earlier version, which opens a link instead', async () => {
    const earlier = new WebSocketServer({ host: '127.0.0.1', port: 0 });
    await until(() => earlier.address() !== null);
    earlier.on('connection', (socket) => {
      socket.send('introduction');
    });
    const result = await createDialer([createPeer('earlier', portOf(earlier))]).dial(server);
    expect(result.isErr() && result.error.kind).to.equal('unavailable');
    earlier.close();
  });

  it('are opened by the next peer where one is refused', async () => {
    const cut = createHttpServer();
    const cutHost = createTunnelHost({
      clock,
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      fleet: { find: () => ({ ...server, address: '127.0.0.1:1' }), isAvailable: () => true },
      isPathLost: () => false,
      isStopping: () => false,
      memory: createMemoryBudget(Number.POSITIVE_INFINITY),
    });
    cut.on('upgrade', cutHost.upgradeRequested.bind(cutHost));
    await listen(cut);
    const peers = [createPeer('cut', portOf(cut)), createPeer('peer', portOf(front))];
    for (let count = 0; count < 5; count += 1) {
      const result = await createDialer(peers).dial(server);
      expect(result.isOk()).to.equal(true);
    }
    const alone = await createDialer(peers.slice(0, 1)).dial(server);
    expect(alone.isErr() && alone.error.kind).to.equal('refused');
    cut.close();
    cut.closeAllConnections();
  });

  it('are opened by the next peer where one does not answer', async () => {
    const mute = createServer();
    await listen(mute);
    const peers = [createPeer('mute', portOf(mute)), createPeer('peer', portOf(front))];
    for (let count = 0; count < 5; count += 1) {
      const log = createKeptLog();
      const result = await createDialer(peers, log).dial(server);
      expect(result.isOk()).to.equal(true);
      // nobody was waited for in vain
      expect(log.lines).to.deep.equal([]);
    }
    mute.close();
  });

  it('are not used for further requests once the peer stops', async () => {
    const peer = createPeer('peer', portOf(front));
    let peers = [peer];
    let retired = 0;
    dialer = createTunnelDialer({
      clock,
      random: createSystemRandom(),
      log: createSilentLog(),
      zone: 'zone-a',
      peers: () => peers,
      retired: () => (retired += 1),
    });
    const tunnel = (await dialer.dial(server)).unwrap();
    expect(tunnel.isRetiring).to.equal(false);
    peers = [{ ...peer, isReady: false }];
    await until(() => retired > 0);
    expect(tunnel.isRetiring).to.equal(true);
    const result = await dialer.dial(server);
    expect(result.isErr() && result.error.kind).to.equal('unavailable');
    tunnel.destroy();
  });
});
