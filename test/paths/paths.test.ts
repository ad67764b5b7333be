import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import { Err, Ok, type Result } from 'ts-results-es';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import {
  createPaths,
  type DialFailure,
  type Paths,
  type TunnelStream,
} from '../../src/paths/index.js';
import { createSystemClock, createSystemRandom } from '../../src/task/index.js';
import { until } from '../fixtures/gateway.js';

/** Nobody listens there. */
const CLOSED_ADDRESS = '127.0.0.1:1';

describe('paths from a gateway to backend servers', () => {
  let backend: Server;
  const sockets = new Set<Socket>();
  let paths: Paths;
  let tunnels: Result<TunnelStream, DialFailure>;
  let dialled: string[];
  let lost: string[];
  let hasPeers: boolean;
  let known: RegisteredServer[];

  function createServerAt(id: string, address: string): RegisteredServer {
    const server = { id, address, zone: 'zone-a' } as RegisteredServer;
    known.push(server);
    return server;
  }

  beforeEach(async () => {
    tunnels = Ok(new PassThrough() as unknown as TunnelStream);
    dialled = [];
    lost = [];
    known = [];
    hasPeers = true;
    backend = createServer((socket) => {
      sockets.add(socket);
    });
    await new Promise<void>((resolve) => backend.listen(0, '127.0.0.1', resolve));
    paths = createPaths({
      clock: createSystemClock(),
      random: createSystemRandom(),
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      tunnels: {
        dial: ({ id }) => {
          dialled.push(id);
          return Promise.resolve(tunnels);
        },
        hasPeers: () => hasPeers,
      },
      connected: () => known,
      isKnown: (id) => known.some((server) => server.id === id),
      lost: (id, isSilent) => lost.push(`${id} ${isSilent ? 'silent' : 'refused'}`),
    });
  });

  afterEach(() => {
    paths.close();
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    backend.close();
  });

  function addressOf(server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  it('are used without a tunnel while they are good', async () => {
    const stream = await paths.connect(createServerAt('s', addressOf(backend)));
    expect(dialled).to.deep.equal([]);
    expect(paths.isLost('s')).to.equal(false);
    stream.destroy();
  });

  it('end nothing else where a connection is reset that nobody uses any more', async () => {
    const stream = await paths.connect(createServerAt('s', addressOf(backend)));
    await until(() => sockets.size === 1);
    for (const socket of sockets) socket.resetAndDestroy();
    await until(() => stream.destroyed);
  });

  it('say that an address is none', async () => {
    const result = await paths.probe(createServerAt('s', 'nowhere'));
    expect(result.isOk()).to.equal(true);
    expect(lost).to.deep.equal(['s silent']);
  });

  it('are lost where a peer reaches the server, and used again once they are back', async () => {
    const server = createServerAt('s', CLOSED_ADDRESS);
    await paths.connect(server);
    expect(lost).to.deep.equal(['s refused']);
    expect(paths.isLost('s')).to.equal(true);
    await paths.connect(server);
    expect(dialled).to.deep.equal(['s', 's']);
    server.address = addressOf(backend);
    await until(() => !paths.isLost('s'));
  });

  it('have the others checked once the first is lost', async () => {
    const other = createServerAt('other', CLOSED_ADDRESS);
    const sound = createServerAt('sound', addressOf(backend));
    await paths.connect(createServerAt('s', CLOSED_ADDRESS));
    await until(() => paths.isLost(other.id));
    expect(paths.isLost(sound.id)).to.equal(false);
  });

  const refusals = [
    { what: 'peers are refused too', failure: 'refused', peers: true, kind: 'refused' },
    { what: 'there is no peer to ask', failure: 'unavailable', peers: false, kind: 'refused' },
    { what: 'peers hear nothing', failure: 'silent', peers: true, kind: 'silent' },
    { what: 'no peer could try', failure: 'unavailable', peers: true, kind: 'silent' },
  ] as const;
  for (const { what, failure, peers, kind } of refusals) {
    it(`show a server that refuses as ${kind} where ${what}`, async () => {
      tunnels = Err({ kind: failure, reason: 'as the test says' });
      hasPeers = peers;
      const result = await paths.probe(createServerAt('s', CLOSED_ADDRESS));
      expect(result.isErr() && result.error.kind).to.equal(kind);
      expect(paths.isLost('s')).to.equal(false);
    });
  }

  it('ask peers for a server that nobody reaches once, not for each connection', async () => {
    tunnels = Err({ kind: 'refused', reason: 'as the test says' });
    const server = createServerAt('s', CLOSED_ADDRESS);
    await Promise.allSettled([1, 2, 3].map(() => paths.connect(server)));
    const before = dialled.length;
    await Promise.allSettled([1, 2, 3].map(() => paths.connect(server)));
    expect(dialled).to.have.length(before);
  });

  it('ask again soon where peers had not tried', async () => {
    tunnels = Err({ kind: 'unavailable', reason: 'as the test says' });
    const server = createServerAt('s', CLOSED_ADDRESS);
    await Promise.allSettled([paths.connect(server)]);
    tunnels = Ok(new PassThrough() as unknown as TunnelStream);
    await new Promise((resolve) => setTimeout(resolve, 100));
    await paths.connect(server);
    expect(paths.isLost('s')).to.equal(true);
  });

  it('abandon silent exchanges of a lost path, and no others', async () => {
    const server = createServerAt('s', addressOf(backend));
    const abandoned: string[] = [];
    paths.watch(server, () => abandoned.push('silent'));
    const answered = paths.watch(server, () => abandoned.push('answered'));
    const hearing = setInterval(() => {
      answered.heard();
    }, 5);
    await new Promise((resolve) => setTimeout(resolve, 300));
    clearInterval(hearing);
    server.address = CLOSED_ADDRESS;
    answered.heard();
    paths.watch(server, () => abandoned.push('just started'));
    await paths.connect(server);
    expect(abandoned).to.deep.equal([]);
    expect(paths.isLost('s')).to.equal(true);
  });

  it('are checked when a server with requests at work is silent, and left alone when it connects', async () => {
    const server = createServerAt('s', addressOf(backend));
    const watched = paths.watch(server, () => undefined);
    await until(() => sockets.size > 0);
    expect(paths.isLost('s')).to.equal(false);
    expect(dialled).to.deep.equal([]);
    watched.ended();
  });
});
