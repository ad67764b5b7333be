import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { expect } from 'chai';
import { runCommandLine, type Terminal } from '../../src/cli/index.js';
import { createSystemClock } from '../../src/task/index.js';
import { smallConfiguration } from '../fixtures/configuration.js';

const failure = {
  code: 'conflict',
  message: 'team/kumasi was changed',
  outcome: 'not-run',
  step: 'configuration.transact',
  peer: 'n1',
};

describe('command line', () => {
  let folder: string;
  let server: Server;
  let behind: string[][];
  let received: { path: string; author: unknown; body: string }[];
  let operator: string;

  before(async () => {
    folder = mkdtempSync(path.join(tmpdir(), 'reedtally-'));
    server = createServer((request, response) => {
      let body = '';
      request.on('data', (chunk: Buffer) => (body += chunk.toString()));
      request.on('end', () => {
        const url = request.url ?? '';
        received.push({ path: url, author: request.headers['reedtally-author'], body });
        const [status, answer] = answerTo(url);
        response.writeHead(status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(answer));
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    operator = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(() => {
    server.close();
    server.closeAllConnections();
    rmSync(folder, { recursive: true });
  });

  beforeEach(() => {
    received = [];
    behind = [];
  });

  function answerTo(url: string): [number, object] {
    if (url === '/v1/changes') return [200, { version: 4, changed: [], warnings: [] }];
    if (url.startsWith('/v1/labels')) return [409, { error: failure }];
    const late = behind.shift() ?? [];
    return [200, { version: 4, inForce: 3 - late.length, nodes: 3, behind: late }];
  }

  function write(name: string, document: unknown): string {
    const file = path.join(folder, name);
    writeFileSync(file, JSON.stringify(document));
    return file;
  }

  async function run(...rawArguments: string[]) {
    const printed: string[] = [];
    const complained: string[] = [];
    const terminal: Terminal = {
      print: (line) => printed.push(line),
      complain: (line) => complained.push(line),
      environment: { REEDTALLY_OPERATOR: operator, REEDTALLY_OPERATOR_TOKEN: 'token' },
      clock: createSystemClock(),
      user: 'ama',
    };
    const code = await runCommandLine(rawArguments, terminal);
    return { code, printed: printed.join('\n'), complained: complained.join('\n') };
  }

  it('reports a change as accepted and then as in force', async () => {
    behind = [['n2'], []];
    const file = write('configuration.json', { objects: smallConfiguration });
    const { code, printed } = await run('apply', '-f', file, '--remove', 'groups/old');
    expect(code).to.equal(0);
    expect(printed).to.contain('version 4').and.to.contain('in force on 3 of 3 nodes');
    expect(received[0]).to.include({ path: '/v1/changes', author: 'ama' });
    const sent = JSON.parse(received[0]?.body ?? '') as object;
    expect(sent).to.deep.include({ removals: [{ kind: 'group', name: 'old' }], force: false });
  });

  it('exits with 4 when a node lags behind, with 1 when refused, with 3 when unreachable', async () => {
    behind = [['n2'], ['n2']];
    const file = write('configuration.json', { objects: [] });
    expect((await run('apply', '-f', file, '--wait-ms', '1')).code).to.equal(4);
    const refused = await run('label', 'teams', 'kumasi', 'a=b', 'c-', '--json');
    expect(refused.code).to.equal(1);
    expect(refused.complained).to.contain('nothing was changed');
    expect(JSON.parse(refused.printed)).to.have.nested.property('error.code', 'conflict');
    const label = received.find(({ path }) => path === '/v1/labels/team/kumasi');
    expect(JSON.parse(label?.body ?? '')).to.deep.include({ set: { a: 'b' }, remove: ['c'] });
    expect((await run('status', '--operator', 'http://127.0.0.1:1')).code).to.equal(3);
  });

  it('checks files and names the wrong field and what was expected', async () => {
    const wrong = write('wrong.json', { objects: [{ kind: 'team', name: 'a', weigth: 1 }] });
    const group = { kind: 'group', name: 'g', selector: {} };
    const unserved = write('unserved.json', { objects: [group] });
    const settings = write('node.json', { node: 'n1' });
    const { code, complained } = await run('check', wrong, unserved, settings);
    expect(code).to.equal(2);
    expect(complained).to.contain('wrong.json: objects.0: Unrecognized key: "weigth"');
    expect(complained).to.contain('unserved.json: group/g.model: expected exactly one');
    expect(complained).to.contain('node.json: listen');
    expect((await run('apply', '-f', wrong)).code).to.equal(2);
    expect(received).to.deep.equal([]);
  });

  it('exits with 2 on wrong usage', async () => {
    for (const line of ['', 'nothing', 'apply', 'apply --forse', 'get things', 'drain']) {
      const { code } = await run(...line.split(' ').filter((word) => word !== ''));
      expect(code, line).to.equal(2);
    }
    expect(received).to.deep.equal([]);
  });

  it('helps with examples and exit codes', async () => {
    expect((await run('--help')).printed)
      .to.contain('orders-settled')
      .and.contain('EXIT CODES');
    const { code, printed } = await run('apply', '--help');
    expect(code).to.equal(0);
    expect(printed).to.contain('reedtally apply -f configuration.json').and.contain('--force');
  });

  it('makes the hash of a key', async () => {
    const file = path.join(folder, 'key');
    writeFileSync(file, 'abc\n');
    const { printed } = await run('hash-key', '--key-file', file);
    const known = 'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad';
    expect(printed).to.equal(`hash ${known}`);
    const made = JSON.parse((await run('hash-key', '--json')).printed) as { key: string };
    expect(made.key).to.have.length(64);
  });
});
