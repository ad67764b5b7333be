// Guards against gateways that a signal ends while they start: its settings are a pipe here, so that the test decides when
// the start goes on.
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { startStoreStandIn, type StoreStandIn } from '../../stand-ins/users-platform/index.js';
import { until } from '../fixtures/gateway.js';

/** An address of this run alone, as the ports are fixed. */
const HOST = `127.86.${(process.pid >> 8) & 0xff}.${Math.max(1, process.pid & 0xfe)}`;

function renderSettings(store: string): string {
  return [
    'node=n',
    'zone=zone-a',
    `ip=${HOST}`,
    'limits.cpuShare=1',
    'limits.cpuCores=1',
    `listen.front=${HOST}:8080`,
    `listen.readiness=${HOST}:8081`,
    `listen.directory=${HOST}:8082`,
    `listen.control=${HOST}:8083`,
    `provider.address=${store}`,
    'bounds.graceS=1',
    'bounds.leaseMs=3000',
    'bounds.retryBudgetRatio=0.2',
    'bounds.retrySlack=58',
    'bounds.budgetWindowS=10',
    'bounds.ttl_max_s=5',
  ].join('\n');
}

describe('a gateway that starts', () => {
  let folder: string;
  let store: StoreStandIn;
  let child: ChildProcess;
  let output: string;
  let ended: { code: number | null; signal: string | null } | undefined;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'signals-'));
    store = await startStoreStandIn();
  });

  afterEach(async () => {
    child.kill('SIGKILL');
    await until(() => ended !== undefined);
    await store.close();
    rmSync(folder, { recursive: true });
  });

  /** Starts the program and returns once it waits for its settings. */
  async function startUntilSettings(): Promise<FileHandle> {
    const path = join(folder, 'settings.conf');
    execFileSync('mkfifo', [path]);
    output = '';
    ended = undefined;
    child = spawn(process.execPath, ['dist/platform/main.js', '--settings', path], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout?.on('data', (chunk) => (output += String(chunk)));
    child.stderr?.on('data', (chunk) => (output += String(chunk)));
    child.on('exit', (code, signal) => (ended = { code, signal }));
    // opens once the program reads
    const pipe = await open(path, 'w');
    const file = join(folder, 'next.conf');
    writeFileSync(file, renderSettings(store.address));
    renameSync(file, path);
    return pipe;
  }

  async function sendSettings(pipe: FileHandle): Promise<void> {
    await pipe.write(renderSettings(store.address));
    await pipe.close();
  }

  it('reads its settings again once it runs if it was asked to before', async function () {
    this.timeout(30_000);
    const pipe = await startUntilSettings();
    child.kill('SIGHUP');
    await sendSettings(pipe).catch(() => undefined);
    await until(() => output.includes('settingsReloaded') || ended !== undefined);
    expect(ended, output).to.equal(undefined);
    expect(output).to.include('"isAsked":true');
  });

  it('stops gracefully once it runs if it was told to before', async function () {
    this.timeout(30_000);
    const pipe = await startUntilSettings();
    child.kill('SIGTERM');
    await sendSettings(pipe).catch(() => undefined);
    await until(() => ended !== undefined);
    expect(ended, output).to.deep.equal({ code: 0, signal: null });
    expect(output).to.include('gatewayStopped');
  });
});
