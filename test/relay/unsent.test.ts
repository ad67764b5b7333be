// Guards against a send that counts as not made, and was: whoever is told that nothing was sent refuses the request, or
// sends it elsewhere, so the server must not get it afterwards either.
import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { expect } from 'chai';
import { createHeaderProtocol } from '../../platform/headers.js';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createMemoryBudget } from '../../src/memory/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import {
  createTunnelDialer,
  createTunnelHost,
  dialAddress,
  type TunnelDialer,
  type TunnelHost,
} from '../../src/paths/index.js';
import type { GatewayState } from '../../src/peers/index.js';
import { KeepAliveAgent } from '../../src/relay/connections.js';
import { startExchange, type Exchange, type ExchangeError } from '../../src/relay/exchange.js';
import { createSeededRandom, createSystemClock, createSystemRandom } from '../../src/task/index.js';
import { until } from '../fixtures/gateway.js';
import {
  idOf,
  renderAnswer,
  startRawServer,
  type RawRequest,
  type RawServer,
} from '../fixtures/raw-server.js';

const clock = createSystemClock();
const protocol = createHeaderProtocol();

/** Longer than an exchange waits for its connection. */
const LATE_MS = 300;
/** Time in which whatever is on its way to a server arrives, in ms. */
const SETTLE_MS = 100;

/** How an exchange ended. */
type End = ExchangeError | 'answered' | 'given-up-unsent' | 'given-up-sent';

/** An exchange and how it ends. */
interface StartedExchange {
  end: Promise<End>;
  /** Gives it up, as a time limit does. */
  giveUp: () => void;
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function start(
  id: string,
  address: string,
  agent: KeepAliveAgent,
  withholdReason: () => string | undefined = () => undefined,
): StartedExchange {
  let settle: (end: End) => void = () => undefined;
  const end = new Promise<End>((resolve) => {
    settle = resolve;
  });
  const exchange: Exchange = startExchange(
    {
      address,
      method: 'POST',
      path: '/once/1',
      rawHeaders: ['Host', address, 'X-Request-Id', id, 'Content-Length', '4'],
      body: Buffer.from('body'),
      readAnswer: (head) => protocol.readAnswer(head),
      restAbandoned: () => undefined,
      withholdReason,
    },
    agent,
    clock,
    {
      onHead: () => undefined,
      onData: () => undefined,
      onEnd() {
        settle('answered');
      },
      onError(error) {
        settle(error);
      },
    },
  );
  return {
    end,
    giveUp() {
      exchange.abort();
      settle(exchange.isSent() ? 'given-up-sent' : 'given-up-unsent');
    },
  };
}

/** Whether whoever made the send believes that nothing was sent. */
function isUnsent(end: End): boolean {
  return typeof end === 'string' ? end === 'given-up-unsent' : !end.sent;
}

describe('a send that counts as not made', () => {
  let server: RawServer;
  let isAnswering = true;
  const agents: KeepAliveAgent[] = [];

  beforeEach(async () => {
    isAnswering = true;
    server = await startRawServer(answer);
  });

  afterEach(async () => {
    for (const agent of agents.splice(0)) agent.destroy();
    await server.close();
  });

  function answer(request: RawRequest): void {
    if (!isAnswering) return;
    const text = renderAnswer(
      200,
      { 'X-Request-Id': idOf(request), 'X-Server-Signature': 's' },
      'page',
    );
    request.connection.write(text);
  }

  function createAgent(connect: () => Promise<Duplex>): KeepAliveAgent {
    const agent = new KeepAliveAgent(clock, {}, { connect, isPathLost: () => true });
    agents.push(agent);
    return agent;
  }

  async function dialOwn(): Promise<Duplex> {
    return (await dialAddress(clock, server.address, 1_000)).unwrap();
  }

  function receivedIds(): string[] {
    return server.received().map(idOf);
  }

  it('has not reached the server, nor does it when its connection is made too late', async () => {
    const agent = createAgent(async () => {
      await wait(LATE_MS);
      return dialOwn();
    });
    const end = await start('late', server.address, agent).end;
    expect(isUnsent(end)).to.equal(true);
    await until(() => server.connections() === 1);
    await wait(SETTLE_MS);
    expect(receivedIds()).to.deep.equal([]);
  });

  it('has not reached the server, whenever the send is given up or withheld', async () => {
    const random = createSeededRandom(63);
    const agent = createAgent(async () => {
      await wait(2 * random.next());
      return dialOwn();
    });
    agent.limit(3);
    const unsent: string[] = [];
    const outcomes = new Set<string>();

    async function send(id: string): Promise<void> {
      const isWithheld = random.next() < 0.2;
      const exchange = start(id, server.address, agent, () => (isWithheld ? 'leaves' : undefined));
      const delayMs = random.next() * 6;
      const chance = random.next();
      if (chance < 0.2) exchange.giveUp();
      else if (chance < 0.4) setImmediate(exchange.giveUp);
      else setTimeout(exchange.giveUp, delayMs);
      const end = await exchange.end;
      outcomes.add(typeof end === 'string' ? end : `error, sent ${end.sent}`);
      if (isUnsent(end)) unsent.push(id);
    }

    for (let round = 0; round < 150; round += 1) {
      await Promise.all(Array.from({ length: 8 }, (_, index) => send(`${round}-${index}`)));
    }
    await wait(SETTLE_MS);
    const received = new Set(receivedIds());
    expect(unsent.filter((id) => received.has(id))).to.deep.equal([]);
    expect(receivedIds()).to.have.length(received.size);
    expect([...outcomes].sort()).to.deep.equal([
      'answered',
      'error, sent false',
      'given-up-sent',
      'given-up-unsent',
    ]);
  });

  describe('through a tunnel', () => {
    let front: HttpServer;
    let host: TunnelHost;
    let dialer: TunnelDialer;
    let registered: RegisteredServer;
    /** Takes the place of the peer's own handling of a tunnel. */
    let peer: ((connection: Duplex, accept: () => void) => void) | undefined;
    /** Connections of the gateway that asks to the peer. */
    const carried: Duplex[] = [];

    beforeEach(async () => {
      peer = undefined;
      carried.length = 0;
      registered = { id: 's@1', address: server.address, zone: 'zone-a' } as never;
      host = createTunnelHost({
        clock,
        log: createSilentLog(),
        metrics: createGatewayMetrics(),
        fleet: { find: () => registered, isAvailable: () => true },
        isPathLost: () => false,
        isStopping: () => false,
        memory: createMemoryBudget(Number.POSITIVE_INFINITY),
      });
      front = createHttpServer();
      front.on('upgrade', (request, connection: Duplex, head) => {
        carried.push(connection);
        const accept = () => void host.upgradeRequested(request, connection, head);
        if (peer === undefined) accept();
        else peer(connection, accept);
      });
      await new Promise<void>((resolve) => front.listen(0, '127.0.0.1', resolve));
      const { port } = front.address() as AddressInfo;
      const state = { node: 'peer', address: `127.0.0.1:${port}`, zone: 'z', isReady: true };
      dialer = createTunnelDialer({
        clock,
        random: createSystemRandom(),
        log: createSilentLog(),
        zone: 'zone-a',
        peers: () => [state as GatewayState],
        retired: () => undefined,
      });
    });

    afterEach(() => {
      host.close();
      front.close();
      front.closeAllConnections();
    });

    function killPeer(): void {
      for (const connection of carried) connection.destroy();
    }

    function createTunnelAgent(): KeepAliveAgent {
      return createAgent(async () => {
        const result = await dialer.dial(registered);
        if (result.isErr()) throw new Error(result.error.reason);
        return result.value;
      });
    }

    for (const [what, handle] of [
      ['refuses', (connection: Duplex) => connection.end('HTTP/1.1 502 refused\r\n\r\n')],
      ['is full', (connection: Duplex) => connection.end('HTTP/1.1 503 unavailable\r\n\r\n')],
      ['dies before it has connected', (connection: Duplex) => connection.destroy()],
      ['connects too late', (_: Duplex, accept: () => void) => setTimeout(accept, LATE_MS)],
      ['never answers', () => undefined],
    ] as const) {
      it(`has not reached the server where the peer ${what}`, async () => {
        peer = handle;
        const end = await start('r1', server.address, createTunnelAgent()).end;
        expect(isUnsent(end)).to.equal(true);
        await wait(LATE_MS + SETTLE_MS);
        expect(receivedIds()).to.deep.equal([]);
      });
    }

    it('is not one that the server got before the peer died', async () => {
      isAnswering = false;
      const exchange = start('r1', server.address, createTunnelAgent());
      await until(() => server.received().length === 1);
      killPeer();
      expect(isUnsent(await exchange.end)).to.equal(false);
    });

    it('is not one for which the peer died as the request was written', async () => {
      isAnswering = false;
      const agent = createTunnelAgent();
      const unsent: string[] = [];
      for (let count = 0; count < 60; count += 1) {
        const exchange = start(`r${count}`, server.address, agent);
        await until(() => host.carried() > 0);
        await wait((count % 6) / 2);
        killPeer();
        if (isUnsent(await exchange.end)) unsent.push(`r${count}`);
        await until(() => host.carried() === 0);
      }
      await wait(SETTLE_MS);
      expect(unsent.filter((id) => receivedIds().includes(id))).to.deep.equal([]);
    });

    it('is not one that is given up at any moment', async () => {
      const agent = createTunnelAgent();
      const random = createSeededRandom(64);
      const unsent: string[] = [];
      for (let count = 0; count < 200; count += 1) {
        const exchange = start(`r${count}`, server.address, agent);
        if (random.next() < 0.3) setImmediate(exchange.giveUp);
        else setTimeout(exchange.giveUp, 8 * random.next());
        if (isUnsent(await exchange.end)) unsent.push(`r${count}`);
      }
      await wait(SETTLE_MS);
      expect(unsent.length).to.be.greaterThan(0);
      expect(unsent.filter((id) => receivedIds().includes(id))).to.deep.equal([]);
    });
  });
});
