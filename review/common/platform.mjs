/**
 * Stand-ins for a review: the platform's store, a folder for settings, gateways as processes with the command of the
 * deploy file, and a client. Everything listens on loopback addresses, at free ports.
 */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as startRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath, URL, URLSearchParams } from 'node:url';

/** The repository's root. */
export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Processes that run, and folders for their settings; none of them outlives this process. */
const children = new Set();
const folders = new Set();
/** A case runs for 120 s at most. */
const LONGEST_MS = 115_000;

process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
});
for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(name, () => {
    process.exit(2);
  });
}
setTimeout(() => {
  process.exit(2);
}, LONGEST_MS).unref();

/** Waits for some milliseconds. */
export function pause(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Two numbers that keep runs side by side apart: all hosts of a run are 127.A.B.x. */
const net = [10 + Math.floor(Math.random() * 200), 1 + Math.floor(Math.random() * 250)];

/** A loopback address of this run. */
export function hostOf(last) {
  return `127.${net[0]}.${net[1]}.${last}`;
}

/** Listens with a server on a free port of a host; resolves with HOST:PORT. */
export function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => {
      resolve(`${host}:${server.address().port}`);
    });
  });
}

/** A port that is free at a host now. */
async function findFreePort(host) {
  const server = createTcpServer();
  const address = await listen(server, host);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return Number(address.split(':')[1]);
}

/**
 * Starts the store: rows in tables under one counter, transactions under conditions, and feeds that wait. It answers in
 * 4 ms. `setAway(true)` has it answer nothing; what it is asked meanwhile isn't done.
 */
export async function startStore() {
  const rows = new Map();
  const waiting = new Set();
  let ver = 0;
  let isAway = false;

  function write(changes) {
    ver += 1;
    for (const change of changes) rows.set(`${change.table}/${change.key}`, { ...change, ver });
    for (const wake of [...waiting]) wake();
    return ver;
  }

  function answer(response, status, body) {
    setTimeout(() => {
      if (isAway) return;
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify({ ...body, nowMs: Math.round(performance.now()) }));
    }, 4);
  }

  function transact(response, { expected = [], puts = [], remove = [] }) {
    const current = expected.map(({ table, part, key }) => {
      const row = rows.get(`${table}/${key}`);
      return { table, part, key, ver: row?.value === undefined ? 0 : row.ver, value: row?.value };
    });
    if (current.some((row, index) => row.ver !== expected[index].ver)) {
      answer(response, 412, { rows: current, ver });
      return;
    }
    const removed = remove.map(({ table, key }) => ({ table, key, value: undefined }));
    write([...puts.map(({ table, key, value }) => ({ table, key, value })), ...removed]);
    answer(response, 200, { ver });
  }

  function render({ table, key, value, ver: rowVer }) {
    const row = { table, part: '', key, ver: rowVer };
    return value === undefined ? { ...row, deleted: true } : { ...row, value };
  }

  function readRange(response, query) {
    const found = [...rows.values()].filter(
      ({ table, key, value }) =>
        table === query.get('table') &&
        value !== undefined &&
        key >= (query.get('source') ?? '') &&
        (query.get('to') === null || key < query.get('to')),
    );
    found.sort((left, right) => (left.key < right.key ? -1 : 1));
    const limit = Number(query.get('limit') ?? 500);
    const hasMore = found.length > limit;
    answer(response, 200, { rows: found.slice(0, limit).map(render), hasMore, ver });
  }

  function readFeed(response, query) {
    const changed = [...rows.values()].filter(
      ({ table, ver: rowVer }) =>
        table === query.get('table') && rowVer > Number(query.get('after')),
    );
    if (changed.length > 0) {
      changed.sort((left, right) => left.ver - right.ver);
      answer(response, 200, { rows: changed.map(render), ver });
      return;
    }
    const timer = setTimeout(
      () => {
        forget();
        answer(response, 200, { rows: [], ver });
      },
      Number(query.get('waitMs') ?? 0),
    );
    function forget() {
      clearTimeout(timer);
      waiting.delete(wake);
      response.off('close', forget);
    }
    function wake() {
      forget();
      readFeed(response, query);
    }
    waiting.add(wake);
    response.once('close', forget);
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const query = new URLSearchParams(url.search);
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (isAway) return;
      const text = Buffer.concat(chunks).toString('utf8');
      if (url.pathname === '/rows-tx') transact(response, JSON.parse(text));
      else if (url.pathname === '/rows-get') readRange(response, query);
      else if (url.pathname === '/rows-feed') readFeed(response, query);
      else answer(response, 404, {});
    });
  });
  const address = await listen(server, hostOf(1));

  return {
    address,
    put(table, key, value) {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      return write([{ table, key, value: text }]);
    },
    remove(table, key) {
      write([{ table, key, value: undefined }]);
    },
    setAway(next) {
      isAway = next;
    },
    isAway: () => isAway,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** The command of the deploy file that starts a gateway. */
function readCommand() {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
  const line = /^run\s*=\s*"([^"]+)"/m.exec(text);
  if (line === null) throw new Error('deploy/system.toml has no line "run"');
  return line[1].split(' ');
}

/**
 * Prepares gateways, one for each zone named.
 *
 * @param store HOST:PORT of the store
 * @param zones the zone of each gateway
 */
export async function createGateways(store, zones) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  folders.add(folder);
  const gateways = [];
  const hosts = zones.map((_, index) => hostOf(10 + index));
  const ports = [];
  for (const host of hosts) {
    const own = {};
    for (const name of ['front', 'readiness', 'control', 'directory']) {
      own[name] = await findFreePort(host);
    }
    ports.push(own);
  }
  const seeds = hosts.slice(0, 3).map((host, index) => `${host}:${ports[index].control}`);
  for (const [index, zone] of zones.entries()) {
    const host = hosts[index];
    const node = `front-${zone}-${index + 1}`;
    const path = join(folder, `${node}.conf`);
    writeFileSync(
      path,
      renderSettings({ node, zone, zones, host, ports: ports[index], seeds, store }),
    );
    gateways.push(createGateway({ node, host, ports: ports[index], path }));
  }
  return {
    gateways,
    async end() {
      await Promise.all(gateways.map((gateway) => gateway.end()));
      rmSync(folder, { recursive: true, force: true });
      folders.delete(folder);
    },
  };
}

function createGateway({ node, host, ports, path }) {
  let child;
  let log = '';
  return {
    node,
    host,
    port: ports.front,
    directoryPort: ports.directory,
    log: () => log,
    start() {
      const [program, ...words] = readCommand();
      const command = program === 'node' ? process.execPath : program;
      const { PATH, HOME, LANG } = process.env;
      const started = spawn(command, words, {
        cwd: root,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: { PATH, HOME, LANG, REEDTALLY_CONFIG: path },
      });
      for (const stream of [started.stdout, started.stderr]) {
        stream.on('data', (chunk) => {
          log += chunk.toString('utf8');
        });
      }
      children.add(started);
      started.on('exit', () => {
        children.delete(started);
        if (child === started) child = undefined;
      });
      child = started;
    },
    isRunning: () => child !== undefined,
    signal(name) {
      child?.kill(name);
    },
    /** Waits until the gateway says that it is ready; false after 20 s. */
    async isReady() {
      const until = performance.now() + 20_000;
      while (performance.now() < until) {
        const answer = await ask({ host, port: ports.readiness, method: 'GET', path: '/ready' });
        if (answer.status === 200) return true;
        await pause(50);
      }
      return false;
    },
    end() {
      const ending = child;
      if (ending === undefined) return Promise.resolve();
      return new Promise((resolve) => {
        ending.on('exit', resolve);
        ending.kill('SIGCONT');
        ending.kill('SIGKILL');
      });
    },
  };
}

function renderSettings({ node, zone, zones, host, ports, seeds, store }) {
  const bounds = {
    ...{ seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000 },
    ...{ graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, skewMaxMs: 5000 },
    ...{ retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52, recoveryS: 12, transitMs: 120 },
    ...{ reuseWindowS: 3, requireFence: false, leaseMs: 3000, thawMs: 300, ttl_max_s: 5 },
  };
  return [
    `node=${node}`,
    'role=gateway',
    'machineClass=front',
    'serves=front,directory,control',
    `ip=${host}`,
    `zone=${zone}`,
    'region=accra',
    ...[...new Set(zones)].map((name) => `zones.${name}=accra`),
    `listen.front=${host}:${ports.front}`,
    `listen.readiness=${host}:${ports.readiness}`,
    `listen.control=${host}:${ports.control}`,
    `listen.directory=${host}:${ports.directory}`,
    `seeds=${seeds.join(',')}`,
    'bootstrap=true',
    'limits.cpuShare=0.675',
    'limits.cpuCores=1',
    'limits.memoryMb=350',
    'limits.maxFds=4100',
    'limits.linkMbps=1000.0',
    'limits.diskMb=0',
    'discovery=platform',
    'entry=directory',
    'heartbeatMs=1200',
    'contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform',
    ...Object.entries(bounds).map(([name, value]) => `bounds.${name}=${value}`),
    `provider.address=${store}`,
    'provider.form=table',
    'provider.writesPerS=400',
    'provider.readsPerS=2000',
    'provider.historyS=20',
    '',
  ].join('\n');
}

/**
 * Sends one request and reads the answer to its end. Never throws: `status` is 0 where there was no answer.
 *
 * @param call host, port, method, path, headers, body, agent, how long to wait, and who hears of each piece
 */
export function ask({
  host,
  port,
  method,
  path,
  headers = {},
  body,
  agent,
  timeoutMs = 3_000,
  heard,
}) {
  return new Promise((resolve) => {
    const answer = { status: 0, headers: {}, body: '', isWhole: false, error: undefined };
    const outgoing = startRequest({ host, port, method, path, headers, agent });
    const timer = setTimeout(() => {
      answer.error = 'the client waited no longer';
      outgoing.destroy();
    }, timeoutMs);
    function end() {
      clearTimeout(timer);
      resolve(answer);
    }
    outgoing.on('response', (response) => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.on('data', (chunk) => {
        answer.body += chunk.toString('utf8');
        heard?.(answer);
      });
      response.on('end', () => {
        answer.isWhole = response.complete;
      });
      response.on('error', (error) => {
        answer.error = error.code ?? error.message;
      });
      response.on('close', end);
    });
    outgoing.on('error', (error) => {
      answer.error ??= error.code ?? error.message;
      end();
    });
    outgoing.end(body);
  });
}

/** A record of what was sent, run and answered, each line with the time since the start. */
export function createRecord(path) {
  const lines = [];
  const startedAt = performance.now();
  return {
    write(text) {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
    },
    save() {
      writeFileSync(path, `${lines.join('\n')}\n`);
    },
  };
}
