// Guards against nodes that a second signal, or one that asks for no stop, ends before they have stopped.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { createTableStandIn, createVmListStandIn } from '../../stand-ins/index.js';
import { until } from '../fixtures/gateway.js';
import { startProgram } from '../fixtures/gateway-process.js';

const secrets = { PEER: 'peer-key-for-tests-only', TOKEN: 'operator-token-for-tests' };

describe('a node that is told to stop', () => {
  const folder = mkdtempSync(join(tmpdir(), 'node-signals-'));
  const path = join(folder, 'node.json');
  let table: Awaited<ReturnType<typeof createTableStandIn>>;
  let vmList: Awaited<ReturnType<typeof createVmListStandIn>>;
  let node: ReturnType<typeof startProgram>;

  before(async () => {
    table = await createTableStandIn();
    vmList = await createVmListStandIn({ vms: [] });
    const platform = {
      tableService: table.origin,
      objectStore: table.origin,
      vmList: vmList.origin,
    };
    const listen = { caller: '127.0.0.1:0', operator: '127.0.0.1:0', peer: '127.0.0.1:0' };
    const keys = { peerKey: { environment: 'PEER' }, operatorToken: { environment: 'TOKEN' } };
    writeFileSync(
      path,
      JSON.stringify({ node: 'n1', zone: 'osu-hall', platform, secrets: keys, listen }),
    );
  });

  after(async () => {
    await Promise.all([table.stop(), vmList.stop()]);
    rmSync(folder, { recursive: true });
  });

  afterEach(() => node.kill());

  const series: [NodeJS.Signals, ...NodeJS.Signals[]][] = [
    ['SIGTERM', 'SIGTERM'],
    ['SIGINT', 'SIGINT', 'SIGTERM'],
    ['SIGTERM', 'SIGHUP', 'SIGQUIT', 'SIGUSR2'],
  ];
  for (const [first, ...more] of series) {
    it(`stops in order after ${[first, ...more].join(', ')}`, async function () {
      this.timeout(30_000);
      node = startProgram(['dist/src/cli/main.js', 'node', '--settings', path], secrets);
      await until(() => node.hasWritten('nodeStarted') || node.ended() !== undefined);
      node.signal('SIGHUP');
      node.signal(first);
      await until(() => node.hasWritten('nodeStopping') || node.ended() !== undefined);
      for (const name of more) node.signal(name);
      await until(() => node.ended() !== undefined);
      expect(node.ended(), node.output()).to.deep.equal({ code: 0, signal: null });
      expect(node.hasWritten('nodeStopped')).to.equal(true);
    });
  }
});
