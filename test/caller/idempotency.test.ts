import { expect } from 'chai';
import type { FailureBody } from '../../src/caller/index.js';
import { plainServiceAnswerSchema } from '../../stand-ins/index.js';
import { keyOf, SERVICE, startCluster, waitUntil, type Cluster } from '../fixtures/cluster.js';

interface Call {
  /** Index of the node to send to. */
  node: number;
  key: string;
  body?: string;
  team?: string;
  path?: string;
}

describe('a call with an idempotency key', () => {
  let cluster: Cluster;

  before(async () => {
    cluster = await startCluster({ nodes: 2, engines: 0, serviceMs: 20 });
  });

  after(() => cluster.stop());

  function send(call: Call, signal?: AbortSignal): Promise<Response> {
    const { node, key, body, team, path } = call;
    const origin = cluster.nodes[node]?.origin ?? '';
    return fetch(`${origin}/v1/services/${SERVICE}${path ?? '/pages/7'}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${keyOf(team ?? 'kumasi')}`,
        'x-reedtally-class': 'once',
        'idempotency-key': key,
      },
      body: body ?? '{"part":"gasket"}',
      signal: signal ?? null,
    });
  }

  /** Number of executions of a path by all workers. */
  function countExecutions(path = '/pages/7'): number {
    let count = 0;
    for (const worker of cluster.workers) {
      for (const entry of worker.entries()) {
        if (entry.event === 'execution' && entry.path === path) count += 1;
      }
    }
    return count;
  }

  function setFault(kind: 'drop-answer' | 'none', path = ''): void {
    for (const worker of cluster.workers) {
      worker.setFault(kind === 'none' ? { kind } : { kind, path });
    }
  }

  it('runs once and returns the same answer again at any node', async () => {
    const first = await send({ node: 0, key: 'a' });
    const answer = await first.text();
    expect(first.status).to.equal(200);
    const again = await send({ node: 1, key: 'a' });
    expect(await again.text()).to.equal(answer);
    expect(again.headers.get('x-reedtally-replayed')).to.equal('true');
    expect(countExecutions()).to.equal(1);
  });

  it('is refused if its key was used for a different call', async () => {
    const calls: Call[] = [
      { node: 1, key: 'a', body: '{"part":"valve"}' },
      { node: 0, key: 'a', path: '/pages/8' },
    ];
    for (const call of calls) {
      const other = await send(call);
      const { error } = (await other.json()) as FailureBody;
      expect(other.status).to.equal(422);
      expect(error).to.include({ code: 'idempotency-key-reused', outcome: 'not-run' });
    }
    expect(countExecutions('/pages/8')).to.equal(0);
  });

  it('does not share keys between teams', async () => {
    const other = await send({ node: 0, key: 'a', team: 'accra', path: '/pages/9' });
    expect(plainServiceAnswerSchema.parse(await other.json()).path).to.equal('/pages/9');
  });

  it('runs once when sent several times concurrently', async () => {
    const path = '/pages/10';
    const sent = [0, 1, 0, 1, 0, 1].map((node) => send({ node, key: 'b', path }));
    const statuses = (await Promise.all(sent)).map(({ status }) => status);
    expect(statuses).to.include(200);
    expect(statuses.filter((status) => status !== 200 && status !== 409)).to.deep.equal([]);
    expect(countExecutions(path)).to.equal(1);
  });

  it('does not run again after it may have run', async () => {
    const path = '/pages/11';
    setFault('drop-answer', path);
    const lost = await send({ node: 0, key: 'c', path });
    expect(lost.status).to.equal(502);
    expect(lost.headers.get('x-should-retry')).to.equal('false');
    setFault('none');
    const again = await send({ node: 1, key: 'c', path });
    const { error } = (await again.json()) as FailureBody;
    expect(error).to.include({ outcome: 'unknown' });
    expect(countExecutions(path)).to.equal(1);
  });

  it('runs when retried after a refusal with the outcome "not-run"', async () => {
    const path = '/pages/12';
    cluster.table.setFault({ kind: 'unavailable', path: '/v1/transactions' });
    const refused = await send({ node: 0, key: 'd', path });
    const { error } = (await refused.json()) as FailureBody;
    expect(error).to.include({ outcome: 'not-run' });
    expect(countExecutions(path)).to.equal(0);
    cluster.table.setFault({ kind: 'none' });
    expect((await send({ node: 1, key: 'd', path })).status).to.equal(200);
    expect(countExecutions(path)).to.equal(1);
  });

  it('completes and stores its answer when its caller disconnects', async () => {
    const path = '/pages/13';
    const abort = new AbortController();
    for (const worker of cluster.workers) {
      worker.setFault({ kind: 'delay-answer', ms: 300, path });
    }
    const call: Call = { node: 0, key: 'e', path };
    const left = send(call, abort.signal).catch(() => undefined);
    await waitUntil('it runs', () => countExecutions(path) === 1);
    abort.abort();
    await left;
    setFault('none');
    const again: Call = { ...call, node: 1 };
    await waitUntil('the answer is kept', async () => (await send(again)).status === 200);
    expect(countExecutions(path)).to.equal(1);
  });
});
