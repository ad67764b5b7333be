// Guards against sends to servers that the retry budget does not count, and charges for what was never sent.
import { expect } from 'chai';
import { createSeededRandom } from '../../src/task/index.js';
import {
  echo,
  sign,
  startServerStandIn,
  startStoreStandIn,
  writeEvents,
  type ScriptedAnswer,
  type ServerStandIn,
  type StoreStandIn,
} from '../../stand-ins/users-platform/index.js';
import {
  ask,
  configuration,
  heads,
  promptHeads,
  register,
  startGatewayFixture,
  until,
  type GatewayFixture,
} from '../fixtures/gateway.js';

const REQUESTS = 240;
const AT_ONCE = 6;
const EVENTS = 3;
const FAULT_SHARE = 0.45;

/** Arrivals of one request at servers. */
interface Arrivals {
  all: number;
  /** Those that only had the prompt prefilled, with success. */
  prefilled: number;
}

describe('the charges of retries', () => {
  let store: StoreStandIn;
  let servers: ServerStandIn[];
  let fixture: GatewayFixture;
  let arrivals: Map<string, Arrivals>;

  beforeEach(async () => {
    arrivals = new Map();
    store = await startStoreStandIn();
    store.put('op', 'config', configuration(1));
    servers = [];
    await addServers(3, 'pages');
    await addServers(3, 'chat', 'prefill');
    await addServers(3, 'chat', 'decode');
    fixture = await startGatewayFixture('node-1', store.address);
    await until(() => countLines('routesApplied') > 0);
    await until(() => countLines('serverChanged') >= servers.length);
  });

  afterEach(async () => {
    await fixture.gateway.stop();
    await Promise.all([store, ...servers].map((part) => part.close()));
  });

  async function addServers(count: number, service: string, role?: 'prefill' | 'decode') {
    for (let index = 0; index < count; index += 1) {
      const id = `${service}-${role ?? 'plain'}-${index}`;
      const server = await startServerStandIn({ id, ...(role && { role }) });
      const random = createSeededRandom(servers.length + 1);
      register(store, server, service, role && { stage: role });
      server.script(...Array.from({ length: 5 * REQUESTS }, () => createAnswer(server, random)));
      servers.push(server);
    }
  }

  /** Answers as a sound server does, or declines, fails, falls silent after the head or resets the connection. */
  function createAnswer({ id }: ServerStandIn, random: { next(): number }): ScriptedAnswer {
    return (request, response) => {
      const isPrefill = request.headers['x-stage'] === 'prefill';
      const chance = random.next() / FAULT_SHARE;
      note(String(request.headers['x-request-id']), isPrefill && chance >= 1);
      if (chance < 0.3) response.writeHead(503, { ...echo(request), 'X-Not-Executed': '1' }).end();
      else if (chance < 0.5) response.writeHead(500, sign(request, id)).end('broken');
      else if (chance < 0.7) response.socket?.resetAndDestroy();
      else if (chance < 0.9) breakOff(response.writeHead(200, sign(request, id)));
      else if (chance < 1) response.writeHead(421, { ...echo(request), 'X-Instance-Id': id }).end();
      else if (isPrefill) {
        const body = JSON.stringify({ kvHandle: `${id}-${chance}`, tokens: 1, version: 1 });
        response.writeHead(200, echo(request)).end(body);
      } else if (request.headers['x-model'] !== undefined) writeEvents(request, response, EVENTS);
      else response.writeHead(200, sign(request, id)).end('page');
    };
  }

  function breakOff(response: Parameters<ScriptedAnswer>[1]): void {
    response.write('id: 1\ndata: part');
    setTimeout(() => response.socket?.destroy(), 1);
  }

  function note(requestId: string, isPrefilled: boolean): void {
    const { all, prefilled } = arrivals.get(requestId) ?? { all: 0, prefilled: 0 };
    arrivals.set(requestId, { all: all + 1, prefilled: prefilled + (isPrefilled ? 1 : 0) });
  }

  function countLines(event: string): number {
    return fixture.log.lines.filter((line) => line.event === event).length;
  }

  async function askSome(first: number): Promise<void> {
    const { port } = fixture.settings.callers;
    for (let request = first; request < REQUESTS; request += AT_ONCE) {
      const id = `r-${request}`;
      const path = ['/any/', '/once/', '/resumable/', '/single/'][request % 4] ?? '';
      const isPrompt = request % 4 >= 2;
      const headers = isPrompt ? promptHeads(id) : heads(id);
      await ask(port, { path: `${path}${request}`, headers }).catch(() => undefined);
    }
  }

  async function sumMetric(name: string): Promise<number> {
    const { port } = fixture.settings.metrics;
    const { body } = await ask(port, { path: '/metrics' });
    const lines = body.split('\n').filter((line) => line.startsWith(name));
    return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
  }

  it('are as many as the arrivals beyond those that are free', async () => {
    await Promise.all(Array.from({ length: AT_ONCE }, (_, first) => askSome(first)));
    let extra = 0;
    for (const { all, prefilled } of arrivals.values()) {
      extra += Math.max(0, all - 1 - Math.min(1, prefilled));
    }
    const paid = await sumMetric('reedtally_gateway_retries_total');
    const refunded = await sumMetric('reedtally_gateway_retries_refunded_total');
    expect(countLines('retryUnpaid')).to.equal(0);
    expect(paid - refunded).to.equal(extra);
    expect(extra).to.be.greaterThan(REQUESTS / 10);
  }).timeout(120_000);
});
