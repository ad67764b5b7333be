import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { expect } from 'chai';
import type { EventFields, EventName } from '../../src/events/index.js';
import { createTableStandIn, createVmListStandIn } from '../../stand-ins/index.js';
import { createSettings, keyOf, startNode, waitUntil } from '../fixtures/cluster.js';

const UNREACHABLE = 'http://127.0.0.1:9';
const platform = { tableService: UNREACHABLE, objectStore: UNREACHABLE, vmList: UNREACHABLE };

/** Time after which a process that has not exited is killed, which fails its test. */
const PROCESS_TIMEOUT_MS = 10_000;

interface ProcessResult {
  code: number | null;
  output: string;
}

describe('the node process', () => {
  let folder: string;

  before(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'reedtally-'));
  });

  after(() => {
    rmSync(folder, { recursive: true });
  });

  async function run(settings: object): Promise<ProcessResult> {
    const file = path.join(folder, 'node.json');
    writeFileSync(file, JSON.stringify(settings));
    const child = spawn(process.execPath, ['dist/src/cli/main.js', 'node', '--settings', file], {
      timeout: PROCESS_TIMEOUT_MS,
      env: { ...process.env, PEER: 'peer-key-for-tests-only', TOKEN: 'operator-token-for-tests' },
    });
    let output = '';
    child.stdout.on('data', (piece: Buffer) => (output += piece.toString()));
    child.stderr.on('data', (piece: Buffer) => (output += piece.toString()));
    const [code] = (await once(child, 'close')) as [number | null];
    return { code, output };
  }

  function createNodeSettings(listen: object): object {
    const addresses = { caller: '127.0.0.1:0', operator: '127.0.0.1:0', peer: '127.0.0.1:0' };
    const secrets = { peerKey: { environment: 'PEER' }, operatorToken: { environment: 'TOKEN' } };
    const common = { node: 'n1', zone: 'osu-hall', platform, secrets };
    return { ...common, listen: { ...addresses, ...listen } };
  }

  it('reports an invalid port in its settings and what was expected', async () => {
    const { code, output } = await run(createNodeSettings({ caller: '127.0.0.1:70000' }));
    expect(code).to.equal(2);
    expect(output).to.contain('listen.caller').and.to.contain('expected a port up to 65535');
  });

  it('reports an unknown key in its settings', async () => {
    const { code, output } = await run({ ...createNodeSettings({}), portt: 1 });
    expect(code).to.equal(2);
    expect(output).to.contain('portt');
  });

  it('exits and logs advice when an address is in use', async () => {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const usedAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    for (const listener of ['caller', 'operator', 'peer']) {
      const { code, output } = await run(createNodeSettings({ [listener]: usedAddress }));
      expect(code, listener).to.equal(1);
      expect(output)
        .to.contain('"event":1004')
        .and.to.contain(usedAddress)
        .and.to.contain('advice');
    }
    server.close();
  });
});

describe('a node that starts without its table service', () => {
  it('logs advice, refuses work, and serves once the table service is available', async () => {
    const table = await createTableStandIn();
    const vmList = await createVmListStandIn({ vms: [] });
    table.setFault({ kind: 'unavailable' });
    const events: { event: EventName; fields: EventFields }[] = [];
    const origins = { ...platform, tableService: table.origin, vmList: vmList.origin };
    const node = await startNode(createSettings('n1', origins), {
      write(event, fields = {}) {
        events.push({ event, fields });
      },
    });
    const entry = events.find(({ event }) => event === 'tableUnreachable');
    expect(entry?.fields).to.include({ tableService: table.origin });
    expect(entry?.fields.advice).to.contain('platform.tableService');

    const fetchModels = () =>
      fetch(`${node.origin}/v1/models`, {
        headers: { authorization: `Bearer ${keyOf('kumasi')}` },
      });
    const refused = await fetchModels();
    expect(refused.status).to.equal(503);
    expect(await refused.json()).to.have.nested.property('error.code', 'configuration-stale');
    expect((await node.operate('/readyz')).status).to.equal(503);

    table.setFault({ kind: 'none' });
    await waitUntil(
      'the node is ready',
      async () => (await node.operate('/readyz')).status === 200,
    );
    expect((await fetchModels()).status).to.equal(401);
    await node.node.stop();
    await Promise.all([table.stop(), vmList.stop()]);
  });
});
