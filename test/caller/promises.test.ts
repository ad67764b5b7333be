/**
 * What a caller is told of a call that a worker or an engine began: never a status that promises the opposite.
 */
import { connect } from 'node:net';
import { expect } from 'chai';
import type { FailureBody } from '../../src/caller/index.js';
import { failureCodeSchema, resolveHttpStatus } from '../../src/errors/index.js';
import {
  keyOf,
  MODEL,
  SERVICE,
  startCluster,
  waitUntil,
  type Cluster,
} from '../fixtures/cluster.js';

/** Statuses after which callers send a call again, since they say that it has not run. */
const PROMISES = [408, 421, 429, 503];

describe('the status of a failure', () => {
  it('never says that a request was refused when it may have run', () => {
    for (const code of failureCodeSchema.options) {
      const status = resolveHttpStatus({ code, outcome: 'unknown' });
      expect(status, code).to.be.oneOf([409, 500, 502, 504]);
    }
  });
});

describe('a call that may run once', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await startCluster({ nodes: 1, engines: 0, workers: 1, serviceMs: 5 });
  });

  afterEach(() => cluster.stop());

  function send(key: string, more: Record<string, string> = {}): Promise<Response> {
    return fetch(`${cluster.nodes[0]?.origin ?? ''}/v1/services/${SERVICE}/pages/7`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${keyOf('kumasi')}`,
        'x-reedtally-class': 'once',
        'idempotency-key': key,
        ...more,
      },
      body: '{"part":"gasket"}',
    });
  }

  function countExecutions(): number {
    const entries = cluster.workers.flatMap((worker) => worker.entries());
    return entries.filter(({ event }) => event === 'execution').length;
  }

  it('is answered 504 when it runs beyond its deadline, and again under its key', async () => {
    cluster.workers[0]?.setFault({ kind: 'delay-answer', ms: 1_000 });
    for (const attempt of ['first', 'again']) {
      const answer = await send('k', { 'x-reedtally-deadline-ms': '300' });
      const { error } = (await answer.json()) as FailureBody;
      expect(PROMISES, attempt).not.to.include(answer.status);
      expect(error, attempt).to.include({ code: 'deadline-expired', outcome: 'unknown' });
      expect(answer.status, attempt).to.equal(504);
      expect(answer.headers.get('retry-after'), attempt).to.equal(null);
      expect(answer.headers.get('x-should-retry'), attempt).to.equal('false');
    }
    expect(countExecutions()).to.equal(1);
  });

  for (const status of PROMISES) {
    it(`is not answered ${status} by a worker's word after its run, nor again under its key`, async () => {
      cluster.workers[0]?.setFault({ kind: 'status', status });
      for (const attempt of ['first', 'again']) {
        const answer = await send('k');
        expect(answer.status, attempt).to.equal(502);
        const { error } = (await answer.json()) as FailureBody;
        expect(error, attempt).to.include({ code: 'backend-server-failed', outcome: 'unknown' });
        expect(error.message, attempt).to.include(String(status));
        expect(answer.headers.get('x-should-retry'), attempt).to.equal('false');
      }
      expect(countExecutions()).to.equal(1);
    });
  }

  for (const status of [200, 404, 409, 500, 502, 504]) {
    it(`is answered ${status} by a worker's word, and again under its key, with one run`, async () => {
      cluster.workers[0]?.setFault({ kind: 'status', status });
      for (const replayed of [null, 'true']) {
        const answer = await send('k');
        expect(answer.status).to.equal(status);
        expect(await answer.json()).to.include({ path: '/pages/7', serial: 1 });
        expect(answer.headers.get('x-reedtally-replayed')).to.equal(replayed);
      }
      expect(countExecutions()).to.equal(1);
    });
  }

  it('is told not-run of a claim whose write was lost, has not run, and runs once under its key', async () => {
    cluster.table.setFault({ kind: 'drop-answer', path: '/v1/transactions' });
    cluster.table.setFault({ kind: 'cut', path: '/v1/rows' });
    const answer = await send('k');
    const { error } = (await answer.json()) as FailureBody;
    expect(error).to.include({ code: 'claims-unavailable', outcome: 'not-run' });
    expect(answer.status).to.equal(503);
    cluster.table.setFault({ kind: 'none' });
    const later = async () => (await send('k')).status === 200;
    expect(countExecutions()).to.equal(0);
    await waitUntil('the claim that landed is fenced', later);
    expect(countExecutions()).to.equal(1);
  });

  it('has one outcome for all who wait for it, where the worker promises after its run', async () => {
    cluster.workers[0]?.setFault({ kind: 'status', status: 503 });
    cluster.workers[0]?.setFault({ kind: 'delay-answer', ms: 300 });
    const first = send('k');
    await waitUntil('it runs', () => countExecutions() === 1);
    const joined = send('k');
    expect([(await first).status, (await joined).status]).to.deep.equal([502, 502]);
    expect(countExecutions()).to.equal(1);
  });

  it("is told not-run of a worker's own refusal, and runs once when it is asked again", async () => {
    cluster.workers[0]?.setFault({ kind: 'unavailable' });
    const declined = await send('k');
    const { error } = (await declined.json()) as FailureBody;
    expect(error).to.include({ outcome: 'not-run' });
    expect([declined.status, countExecutions()]).to.deep.equal([503, 0]);
    cluster.workers[0]?.setFault({ kind: 'none' });
    expect((await send('k')).status).to.equal(200);
    expect(countExecutions()).to.equal(1);
  });

  for (const status of PROMISES) {
    it(`passes a worker's ${status} on where the class may be repeated`, async () => {
      cluster.workers[0]?.setFault({ kind: 'status', status });
      const answer = await send('k', { 'x-reedtally-class': 'default' });
      expect(answer.status).to.equal(status);
      expect(await answer.json()).to.include({ path: '/pages/7' });
      expect(answer.headers.get('x-should-retry')).to.equal(null);
    });
  }
});

describe('a connection whose request runs', () => {
  const parts = { settings: { requests: { readTimeoutMs: 1_000 } } };
  const followers = [
    { title: 'a half-sent request', bytes: 'POST /v1/completions HTTP/1.1\r\nHost: n1\r\n' },
    { title: 'bytes that are not HTTP', bytes: '\u0000\u0001 nothing\r\n\r\n' },
    {
      title: 'a request with too large headers',
      bytes: `GET / HTTP/1.1\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`,
    },
  ];

  for (const { title, bytes } of followers) {
    it(`is not answered with the refusal of ${title} behind it`, async () => {
      const cluster = await startCluster({ nodes: 1, engines: 0, workers: 1, ...parts });
      const [worker] = cluster.workers;
      worker?.setFault({ kind: 'delay-answer', ms: 4_000 });
      const [host = '', port = ''] = (cluster.nodes[0]?.addresses.caller ?? '').split(':');
      const socket = connect(Number(port), host);
      let received = '';
      socket.setEncoding('utf8').on('data', (piece: string) => (received += piece));
      const closed = new Promise((resolve) => socket.once('close', resolve));
      socket.write(
        `POST /v1/services/${SERVICE}/pages/7 HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n` +
          `Authorization: Bearer ${keyOf('kumasi')}\r\nx-reedtally-class: once\r\nidempotency-key: k\r\n\r\n`,
      );
      const hasRun = () => worker?.entries().some(({ event }) => event === 'execution') ?? false;
      await waitUntil('it runs', hasRun);
      socket.write(bytes);
      await closed;
      await cluster.stop();
      expect(received.match(/HTTP\/1\.1 .*/g)).to.deep.equal(['HTTP/1.1 200 OK']);
    });
  }
});

describe('a request that does not come in time', () => {
  // without this, the rest of a call that had been answered 408 ran it
  it('is told not-run, and does not run though the rest comes', async () => {
    const settings = { requests: { readTimeoutMs: 100 } };
    const cluster = await startCluster({ nodes: 1, engines: 0, workers: 1, settings });
    const [host = '', port = ''] = (cluster.nodes[0]?.addresses.caller ?? '').split(':');
    const socket = connect({ port: Number(port), host, allowHalfOpen: true });
    let received = '';
    socket.setEncoding('utf8').on('data', (piece: string) => (received += piece));
    socket.on('error', () => undefined);
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.write(
      `POST /v1/services/${SERVICE}/pages/7 HTTP/1.1\r\nHost: n1\r\nContent-Length: 4\r\n` +
        `Authorization: Bearer ${keyOf('kumasi')}\r\nx-reedtally-class: once\r\nidempotency-key: k\r\n\r\nbo`,
    );
    await waitUntil('it is refused', () => received.includes('not-run'));
    // the end of the connection shows at a write after the first
    const writing = setInterval(() => socket.write('dy'), 10);
    await closed;
    clearInterval(writing);
    const runs = cluster.workers[0]?.entries().filter(({ event }) => event === 'execution');
    await cluster.stop();
    expect(received).to.match(/^HTTP\/1.1 408 /);
    expect(runs).to.deep.equal([]);
  });
});

describe('a generation that an engine began', () => {
  it('is not answered with a promise when the engines decline to go on with it', async () => {
    const cluster = await startCluster({ nodes: 1, engines: 1, workers: 0 });
    cluster.engines[0]?.setFault({ kind: 'break-mid-stream', afterTokens: 3, count: 1 });
    const answer = fetch(`${cluster.nodes[0]?.origin ?? ''}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${keyOf('kumasi')}`, 'x-reedtally-deadline-ms': '1500' },
      body: JSON.stringify({ model: MODEL, prompt: 'torque? [[answer:50]]', max_tokens: 50 }),
    });
    while (!cluster.engines[0]?.entries().some(({ event }) => event === 'start')) {
      await new Promise(setImmediate);
    }
    cluster.engines[0].setFault({ kind: 'unavailable', path: '/v1/completions' });
    const { status } = await answer;
    const { error } = (await (await answer).json()) as FailureBody;
    await cluster.stop();
    expect(error.outcome).to.equal('unknown');
    expect(status).to.be.oneOf([502, 504]);
    expect(PROMISES).not.to.include(status);
  });
});
