// Guards against files that are taken while they are written, and against waits for one without an end.
import { mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { parseUnfinished } from '../../platform/settings.js';
import { awaitFile, createSettledFile, LONGEST_WAIT_MS } from '../../src/process/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const lines = [
  'node=n',
  'zone=a',
  'ip=127.0.0.1',
  'limits.cpuShare=1',
  'limits.cpuCores=1',
  'listen.front=127.0.0.1:1',
  'listen.readiness=127.0.0.1:2',
  'listen.control=127.0.0.1:3',
  'bounds.graceS=8',
  'bounds.leaseMs=3000',
  'bounds.retryBudgetRatio=0.2',
  'bounds.retrySlack=58',
  'bounds.budgetWindowS=10',
  'bounds.ttl_max_s=5',
  'provider.address=127.0.0.1:8142',
];
const whole = `${lines.join('\n')}\n`;

describe('a file that another program writes', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settled-'));
  const path = join(folder, 'settings.conf');
  /** Time of day at which files of these tests were written, in seconds. */
  const WRITTEN_S = 1_000_000;

  after(() => {
    rmSync(folder, { recursive: true });
  });

  function write(text: string): void {
    writeFileSync(path, text);
    utimesSync(path, WRITTEN_S, WRITTEN_S);
  }

  function start(sinceWrittenMs = 0) {
    const { clock, advance } = createFakeClock();
    const startedAt = clock.now();
    const file = createSettledFile({
      path,
      clock,
      timeOfDay: () => WRITTEN_S * 1_000 + sinceWrittenMs + clock.now() - startedAt,
      parse: parseUnfinished,
    });
    return { clock, advance, file };
  }

  it('is taken once it has stayed as it is', async () => {
    write(whole);
    const { advance, file } = start();
    expect(file.read().kind).to.equal('unsettled');
    await advance(90);
    expect(file.read().kind).to.equal('unsettled');
    await advance(10);
    expect(file.read().kind).to.equal('whole');
  });

  it('is taken at once if it was written long ago', () => {
    write(whole);
    expect(start(100).file.read().kind).to.equal('whole');
  });

  it('is waited for where the time of day has jumped', async () => {
    write(whole);
    const { advance, file } = start(-60_000);
    expect(file.read().kind).to.equal('unsettled');
    await advance(100);
    expect(file.read().kind).to.equal('whole');
  });

  it('is not taken at any cut that leaves out or shortens what is used', () => {
    for (let length = 0; length < whole.length - 1; length += 1) {
      write(whole.slice(0, length));
      const { kind } = start(500).file.read();
      expect(kind, String(length)).to.be.oneOf(['incomplete', 'unsettled']);
    }
  });

  it('is wrong only where its lines have ends', () => {
    write(whole.replace(':8142', ':none').replace('graceS=8', 'graceS=four'));
    expect(start(500).file.read().kind).to.equal('wrong');
    write(`${whole}limits.cpuShare=x`);
    expect(start(500).file.read().kind).to.equal('incomplete');
  });

  it('is waited for no longer than stated, with a word now and then', async () => {
    rmSync(path, { force: true });
    const { clock, advance, file } = start();
    const words: number[] = [];
    let outcome: string | undefined;
    void awaitFile({
      file,
      clock,
      waiting: (_reading, waitedMs) => words.push(waitedMs),
      isStopped: () => false,
    }).then(({ kind }) => (outcome = kind));
    await advance(LONGEST_WAIT_MS - 1);
    expect(outcome).to.equal(undefined);
    await advance(1);
    expect(outcome).to.equal('missing');
    expect(words).to.deep.equal([0, 5_000, 10_000, 15_000, 20_000, 25_000]);
  });
});
