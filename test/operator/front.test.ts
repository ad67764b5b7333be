import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import type { NodeState } from '../../src/links/messages.js';
import { createOperatorFront, resolveInForce, type NodeStatus } from '../../src/operator/index.js';
import { createSystemClock } from '../../src/task/index.js';
import {
  createConfigurationNode,
  createVm,
  smallConfiguration,
} from '../fixtures/configuration.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

const TOKEN = 'operator-token-for-tests';

function stateOf(node: string, configurationVersion: number): NodeState {
  const address = '127.0.0.1:1';
  const addresses = { caller: address, operator: address, peer: address };
  const counts = { leaving: false, sequence: 1, inFlight: 0, configurationVersion };
  return { node, incarnation: 'i', zone: 'tema-hall', ...addresses, ...counts };
}

async function setUp() {
  const { table, control } = createMemoryTable();
  const node = createConfigurationNode({ name: 'n1', table, clock: createSystemClock() });
  await node.replica.start();
  const status = (): NodeStatus => {
    const configurationVersion = node.replica.current().version;
    const own = stateOf('n1', configurationVersion);
    const lease = { held: true, validForMs: 1 };
    const nodes = [own, stateOf('n2', 1)];
    return {
      node: own,
      nodes,
      shards: [],
      lease,
      configurationVersion,
      ready: false,
      leaving: true,
    };
  };
  const app = createOperatorFront({
    token: TOKEN,
    metrics: node.metrics,
    replica: node.replica,
    writer: node.writer,
    status,
    vms: () => [createVm({ id: 'engine-1', labels: { pool: 'manuals' } })],
    log: createSilentLog(),
  });
  const headers = { authorization: `Bearer ${TOKEN}`, 'reedtally-author': 'ama' };
  const get = async (path: string) => app.request(path, { headers });
  const post = async (path: string, body: object) =>
    app.request(path, { method: 'POST', headers, body: JSON.stringify(body) });
  return { app, control, node, get, post };
}

describe('operator front', () => {
  it('lets nobody in without the token, but to health and metrics', async () => {
    const { app, node } = await setUp();
    for (const authorization of ['', 'Bearer x', `Basic ${TOKEN}`, `Bearer ${TOKEN}x`]) {
      const response = await app.request('/v1/status', { headers: { authorization } });
      expect(response.status).to.equal(401);
      expect(await response.json()).to.have.nested.property('error.code', 'unauthenticated');
    }
    expect((await app.request('/healthz')).status).to.equal(200);
    expect((await app.request('/readyz')).status).to.equal(503);
    const metrics = await (await app.request('/metrics')).text();
    expect(metrics).to.contain('reedtally_refusals_total{reason="unauthenticated"');
    node.replica.stop();
  });

  it('applies, lists and labels objects and drains VMs', async () => {
    const { get, post, node } = await setUp();
    const applied = await post('/v1/changes', { objects: smallConfiguration });
    expect(await applied.json()).to.include({ version: 4 });
    const labelled = await post('/v1/labels/team/kumasi', { set: { a: 'b' }, remove: ['size'] });
    expect(labelled.status).to.equal(200);
    const team = await (await get('/v1/objects/team/kumasi')).json();
    expect(team).to.deep.include({ version: 5, author: 'ama' });
    expect(team).to.have.deep.nested.property('object.labels', { a: 'b' });
    expect((await post('/v1/vms/engine-1/drain', {})).status).to.equal(200);
    expect((await post('/v1/vms/engine-1/orders-settled', { fence: 7 })).status).to.equal(200);
    const vms = await (await get('/v1/objects/vm')).json();
    expect(vms).to.deep.nested.include({
      'objects[0].object.drained': true,
      'objects[0].object.ordersSettled': 7,
    });
    const path = '/v1/explain?team=kumasi&class=verdict&model=manual-7b';
    const explanation = await (await get(path)).json();
    expect(explanation).to.have.nested.property('vms[0].reasons[0]', 'an operator drains it');
    node.replica.stop();
  });

  it('refuses what is wrong with its field', async () => {
    const { get, post, node } = await setUp();
    const wrong: [Promise<Response>, number, string][] = [
      [post('/v1/changes', { objects: [{ kind: 'team', name: 'Á' }] }), 400, 'objects.0.name'],
      [post('/v1/changes', { objekts: [] }), 400, 'body'],
      [post('/v1/labels/team/nobody', { set: {} }), 404, 'team/nobody'],
      [post('/v1/vms/nothing/drain', {}), 404, 'vm/nothing'],
      [post('/v1/vms/engine-1/orders-settled', { fence: 0 }), 400, 'fence'],
      [get('/v1/objects/thing'), 400, 'kind'],
      [get('/v1/explain?team=kumasi&class=verdict'), 400, 'model'],
      [get('/v1/in-force/x'), 400, 'version'],
      [get('/v1/nothing'), 404, 'path'],
    ];
    for (const [answer, status, field] of wrong) {
      const response = await answer;
      expect(response.status).to.equal(status);
      expect(await response.json()).to.have.nested.property('error.field', field);
    }
    node.replica.stop();
  });

  it('tells how far a version has come', async () => {
    const { get, post, node } = await setUp();
    await post('/v1/changes', { objects: smallConfiguration });
    const inForce = await (await get('/v1/in-force/4')).json();
    expect(inForce).to.deep.equal({ version: 4, inForce: 1, nodes: 2, behind: ['n2'] });
    node.replica.stop();
  });

  it('streams changes and node states', async () => {
    const { get, post, node } = await setUp();
    const stream = (await get('/v1/watch')).body?.getReader();
    await post('/v1/changes', { objects: smallConfiguration });
    let text = '';
    while (!text.includes('event: change\ndata: {"version":4')) {
      const chunk = await stream?.read();
      text += new TextDecoder().decode(chunk?.value as Uint8Array);
    }
    expect(text).to.contain('event: node');
    await stream?.cancel();
    node.replica.stop();
  });

  it('counts its own state newer than what others say of it', () => {
    const node = stateOf('n1', 3);
    const lease = { held: false, validForMs: 0 };
    const nodes = [stateOf('n1', 2)];
    const status = { node, nodes, shards: [], lease, ready: true, leaving: false };
    expect(resolveInForce({ ...status, configurationVersion: 3 }, 3).behind).to.deep.equal([]);
  });
});
