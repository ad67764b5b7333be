import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { watchSettings, type SettingsWatch } from '../../platform/settings-watch.js';
import type { GatewaySettings } from '../../src/gateway/index.js';
import { createKeptLog, until } from '../fixtures/gateway.js';

const lines = [
  'node=n',
  'zone=a',
  'ip=127.0.0.1',
  'limits.cpuShare=1',
  'limits.cpuCores=1',
  'listen.front=127.0.0.1:1',
  'listen.readiness=127.0.0.1:2',
  'listen.control=127.0.0.1:3',
  'provider.address=127.0.0.1:4',
  'bounds.graceS=8',
  'bounds.leaseMs=3000',
  'bounds.retryBudgetRatio=0.2',
  'bounds.retrySlack=58',
  'bounds.budgetWindowS=10',
  'bounds.ttl_max_s=5',
];

describe('the watched settings file', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const path = join(folder, 'settings.conf');
  let watch: SettingsWatch;

  afterEach(() => {
    watch.stop();
  });

  after(() => {
    rmSync(folder, { recursive: true });
  });

  function start() {
    const log = createKeptLog();
    const changes: GatewaySettings[] = [];
    writeFileSync(path, lines.join('\n'));
    watch = watchSettings(path, lines.join('\n'), log, (settings) => changes.push(settings));
    return { log, changes };
  }

  it('is applied when it changes, without a signal', async () => {
    const { changes, log } = start();
    writeFileSync(path, lines.join('\n').replace('retrySlack=58', 'retrySlack=20'));
    await until(() => changes.length === 1);
    expect(changes[0]?.bounds.retryAllowance).to.equal(20);
    const reloaded = log.lines.find(({ event }) => event === 'settingsReloaded');
    expect(reloaded?.fields.fingerprint).to.equal(changes[0]?.fingerprint);
  });

  it('is read again on request, and not applied while it is invalid', () => {
    const { changes, log } = start();
    watch.readNow();
    writeFileSync(path, 'node=n');
    watch.readNow();
    expect(changes).to.have.length(1);
    const events = log.lines.map(({ event }) => event);
    expect(events).to.deep.equal(['settingsReloaded', 'settingsUnreadable']);
  });
});
