import { expect } from 'chai';
import type { RequestStatus } from '../../src/links/index.js';
import type { EntryPoints } from '../../src/membership/index.js';
import { keyOf, MODEL, startCluster, waitUntil, type Cluster } from '../fixtures/cluster.js';

describe('the status of a request', () => {
  let cluster: Cluster;

  before(async () => {
    cluster = await startCluster({ nodes: 2, workers: 0, stepMs: 5 });
  });

  after(() => cluster.stop());

  function origin(node: number): string {
    return cluster.nodes[node]?.origin ?? '';
  }

  function generate(prompt: string, more: object = {}): Promise<Response> {
    return fetch(`${origin(0)}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${keyOf('kumasi')}` },
      body: JSON.stringify({ model: MODEL, prompt, max_tokens: 1_000, ...more }),
    });
  }

  async function fetchStatus(
    node: number,
    id: string,
    team = 'kumasi',
  ): Promise<RequestStatus | number> {
    const headers = { authorization: `Bearer ${keyOf(team)}` };
    const answer = await fetch(`${origin(node)}/v1/requests/${id}`, { headers });
    return answer.status === 200 ? ((await answer.json()) as RequestStatus) : answer.status;
  }

  it('is available at any node, to its own team only', async () => {
    const answer = await generate('Is the torque right?');
    const id = answer.headers.get('x-request-id') ?? '';
    expect(await answer.json()).to.include({ id });
    const status = { requestId: id, team: 'kumasi', state: 'answered' };
    expect(await fetchStatus(0, id)).to.deep.equal(status);
    expect(await fetchStatus(1, id)).to.deep.equal(status);
    expect(await fetchStatus(0, id, 'accra')).to.equal(404);
    expect(await fetchStatus(1, id, 'accra')).to.equal(404);
    expect(await fetchStatus(1, 'n9~nothing')).to.equal(404);
  });

  it('is "running" until the answer has ended', async () => {
    const answer = await generate('Explain. [[answer:200]]', { stream: true });
    const id = answer.headers.get('x-request-id') ?? '';
    expect(await fetchStatus(1, id)).to.include({ state: 'running' });
    expect(await answer.text()).to.contain('[DONE]');
    expect(await fetchStatus(1, id)).to.include({ state: 'answered' });
  });

  it('includes why a request was not run', async () => {
    for (const engine of cluster.engines) {
      engine.setFault({ kind: 'unavailable', path: '/v1/completions' });
    }
    const answer = await generate('Is the torque right?');
    const id = answer.headers.get('x-request-id') ?? '';
    const status = (await fetchStatus(1, id)) as RequestStatus;
    expect(answer.status).to.be.within(429, 503);
    expect(status).to.include({ state: 'not-run' });
    expect(status.failure?.outcome).to.equal('not-run');
    for (const engine of cluster.engines) {
      engine.setFault({ kind: 'none' });
    }
  });
});

describe('a node that is stopped', () => {
  it('is removed from the entry points, refuses new work and completes running answers', async () => {
    const cluster = await startCluster({ nodes: 2, workers: 0, stepMs: 10 });
    const [leaving, staying] = cluster.nodes;
    const ask = (prompt: string) =>
      fetch(`${leaving?.origin ?? ''}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${keyOf('kumasi')}` },
        body: JSON.stringify({ model: MODEL, prompt, max_tokens: 1_000, stream: true }),
      });
    const listed = async () => {
      // needs no API key
      const answer = await fetch(`${staying?.origin ?? ''}/v1/entry-points?zone=tema-hall`);
      const { entryPoints } = (await answer.json()) as EntryPoints;
      return entryPoints.map(({ address }) => address);
    };
    expect(await listed()).to.have.members([leaving?.addresses.caller, staying?.addresses.caller]);

    const running = await ask('Copy the chamber log. [[answer:150]]');
    const answer = running.text();
    const stopped = leaving?.node.stop();
    await waitUntil('it is out of the entry points', async () => (await listed()).length === 1);
    expect(await listed()).to.deep.equal([staying?.addresses.caller]);
    await waitUntil('it refuses new work', async () => {
      const refused = await ask('Is the torque right?');
      const body = await refused.text();
      if (refused.status === 200) return false;
      expect(body).to.contain('"code":"leaving"').and.to.contain('"outcome":"not-run"');
      expect(refused.headers.get('retry-after')).to.equal('1');
      return true;
    });
    expect(await answer).to.contain('[DONE]');
    await stopped;
    cluster.nodes.shift();
    await cluster.stop();
  });
});
