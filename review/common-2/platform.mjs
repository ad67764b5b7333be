/**
 * Small stand-ins for the cases of this review: the platform's store, backend servers, clients, and the project's gateway
 * as processes. Everything listens on loopback addresses and free ports, and ends with the script.
 */
import { spawn } from 'node:child_process';
import { Buffer } from 'node:buffer';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createHttpServer, request as startRequest } from 'node:http';
import { createServer as createNetServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL, fileURLToPath } from 'node:url';

export const root = resolve(fileURLToPath(new URL('../..', import.meta.url)));

/** Waits so many milliseconds. */
export function sleep(ms) {
  return new Promise((done) => {
    setTimeout(done, ms);
  });
}

/** Waits until a condition holds; false if it does not within the time. */
export async function until(condition, ms = 20_000) {
  const end = performance.now() + ms;
  while (performance.now() < end) {
    if (await condition()) return true;
    await sleep(20);
  }
  return false;
}

/** A record of what was sent, answered and run, with seconds since its start. */
export function createRecord(path) {
  const out = createWriteStream(path);
  const startedAt = performance.now();
  return {
    write(line) {
      out.write(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${line}\n`);
    },
    close: () =>
      new Promise((done) => {
        out.end(done);
      }),
  };
}

function addressOf(server) {
  const { address, port } = server.address();
  return `${address}:${port}`;
}

/**
 * The platform's store: rows in tables under one counter, transactions under conditions, and feeds that are held until
 * there is a change. While it is down it resets every connection and takes none. In a drill it comes back from a copy.
 */
export async function startStore(host) {
  const rows = new Map();
  const waiting = new Set();
  const sockets = new Set();
  let version = 0;
  let era = 1;
  let isDown = false;

  function write(changes) {
    version += 1;
    for (const change of changes) {
      rows.set(`${change.table}/${change.key}`, { part: '', ...change, ver: version });
    }
    for (const wake of [...waiting]) wake();
    return version;
  }

  function answer(response, status, body) {
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(era) });
    response.end(JSON.stringify(body));
  }

  function nowMs() {
    return Math.round(performance.now());
  }

  function transact(response, text) {
    const { expected = [], puts = [], remove = [] } = JSON.parse(text);
    const isMet = expected.every(({ table, key, ver }) => {
      const row = rows.get(`${table}/${key}`);
      return (row?.value === undefined ? 0 : row.ver) === ver;
    });
    if (!isMet) {
      const found = expected
        .map(({ table, key }) => rows.get(`${table}/${key}`))
        .filter((row) => row?.value !== undefined);
      answer(response, 412, { rows: found, ver: version, nowMs: nowMs() });
      return;
    }
    const removed = remove.map(({ table, key }) => ({ table, key, value: undefined }));
    const isEmpty = puts.length + removed.length === 0;
    const ver = isEmpty ? version : write([...puts, ...removed]);
    answer(response, 200, { ver, nowMs: nowMs() });
  }

  function readRange(response, query) {
    const source = query.get('source') ?? '';
    const to = query.get('to');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const found = [...rows.values()].filter(
      (row) =>
        row.table === query.get('table') &&
        row.value !== undefined &&
        row.key >= source &&
        (to === null || row.key < to),
    );
    found.sort((left, right) => (left.key < right.key ? -1 : 1));
    answer(response, 200, {
      rows: found.slice(0, limit),
      hasMore: found.length > limit,
      ver: version,
      nowMs: nowMs(),
    });
  }

  function readFeed(response, query) {
    const after = Number(query.get('after'));
    if (after > version) {
      answer(response, 410, {});
      return;
    }
    const changed = [...rows.values()]
      .filter((row) => row.table === query.get('table') && row.ver > after)
      .sort((left, right) => left.ver - right.ver)
      .map((row) => (row.value === undefined ? { ...row, deleted: true } : row));
    if (changed.length > 0) {
      answer(response, 200, { rows: changed, ver: version, nowMs: nowMs() });
      return;
    }
    const timer = setTimeout(
      () => {
        waiting.delete(wake);
        answer(response, 200, { rows: [], ver: version, nowMs: nowMs() });
      },
      Math.min(30_000, Number(query.get('waitMs') ?? 0)),
    );
    function forget() {
      clearTimeout(timer);
      waiting.delete(wake);
    }
    function wake() {
      forget();
      response.off('close', forget);
      readFeed(response, query);
    }
    waiting.add(wake);
    response.once('close', forget);
  }

  const server = createHttpServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (isDown) return;
      const text = Buffer.concat(chunks).toString('utf8');
      if (url.pathname === '/rows-tx') transact(response, text);
      else if (url.pathname === '/rows-get') readRange(response, url.searchParams);
      else if (url.pathname === '/rows-feed') readFeed(response, url.searchParams);
      else if (url.pathname === '/rows-parts') answer(response, 200, { parts: [''] });
      else answer(response, 404, {});
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    if (isDown) {
      socket.resetAndDestroy();
      return;
    }
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((done) => {
    server.listen(0, host, done);
  });

  return {
    address: addressOf(server),
    /** Writes a row, as the operator and the servers do; false while the store is down. */
    put(table, key, value) {
      if (isDown) return false;
      const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
      write([{ table, key, value: encoded }]);
      return true;
    },
    remove(table, key) {
      if (isDown) return false;
      write([{ table, key, value: undefined }]);
      return true;
    },
    setDown(next) {
      isDown = next;
      if (!next) return;
      for (const socket of sockets) socket.resetAndDestroy();
    },
    /** Keeps a copy of everything as it is now. */
    copy: () => ({ rows: new Map(rows), version }),
    /** Puts a copy in the place of everything: versions go back, and the era rises by one. */
    restore(copy) {
      rows.clear();
      for (const [key, row] of copy.rows) rows.set(key, row);
      ({ version } = copy);
      era += 1;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** A port that is free on an address. */
export function findFreePort(host) {
  return new Promise((done, failed) => {
    const probe = createNetServer();
    probe.on('error', failed);
    probe.listen(0, host, () => {
      const { port } = probe.address();
      probe.close(() => {
        done(port);
      });
    });
  });
}

/** The lines of a settings file of a small deployment. */
function renderSettings({ node, host, ports, store, seeds, graceS = 8 }) {
  return [
    `node=${node}`,
    'role=gateway',
    'machineClass=front',
    'serves=front,directory,control',
    `ip=${host}`,
    'zone=hall-a',
    'region=one',
    'zones.hall-a=one',
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
    'heartbeatMs=1200',
    'bounds.contactMs=3000',
    'bounds.drainMs=2000',
    `bounds.graceS=${graceS}`,
    'bounds.lossSlackMs=200',
    'bounds.configMs=2000',
    'bounds.retryBudgetRatio=0.2',
    'bounds.budgetWindowS=10',
    'bounds.retrySlack=58',
    'bounds.recoveryS=12',
    'bounds.leaseMs=3000',
    'bounds.thawMs=300',
    'bounds.ttl_max_s=5',
    `provider.address=${store}`,
    'provider.form=table',
    'provider.writesPerS=400',
    'provider.readsPerS=2000',
    'provider.historyS=20',
    '',
  ].join('\n');
}

/** The command of the deploy file, as its program and arguments. */
function readCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(text)[1].split(' ');
}

/** A machine with one gateway process, started by the command of the deploy file. */
export async function createGateway({ node, host, store, seeds, folder, graceS }) {
  const ports = {};
  for (const name of ['front', 'readiness', 'control', 'directory']) {
    ports[name] = await findFreePort(host);
  }
  const path = join(folder, `${node}.conf`);
  const logPath = join(folder, `${node}.log`);
  let child;
  const self = {
    node,
    host,
    ports,
    control: `${host}:${ports.control}`,
    log: () => readFileSync(logPath, 'utf8'),
    /** @param seeds control addresses of some machines */
    start(known = seeds) {
      writeFileSync(path, renderSettings({ node, host, ports, store, seeds: known, graceS }));
      const [program, ...args] = readCommand();
      const log = createWriteStream(logPath, { flags: 'a' });
      const started = spawn(program, args, {
        cwd: root,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, REEDTALLY_CONFIG: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      started.stdout.pipe(log, { end: false });
      started.stderr.pipe(log, { end: false });
      child = started;
      started.on('exit', (code, signal) => {
        self.lastEnd = { code, signal };
        if (child === started) child = undefined;
      });
    },
    isRunning: () => child !== undefined,
    signal(name) {
      child?.kill(name);
    },
    async end() {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
      await until(() => child === undefined, 5_000);
    },
    /** Whether it answers its readiness checks with 200. */
    isReady: () =>
      new Promise((done) => {
        const asked = startRequest(
          { host, port: ports.readiness, path: '/ready', timeout: 500, agent: false },
          (response) => {
            response.resume();
            done(response.statusCode === 200);
          },
        );
        asked.on('timeout', () => asked.destroy());
        asked.on('error', () => {
          done(false);
        });
        asked.end();
      }),
  };
  return self;
}

/** A temporary folder, which the script removes at its end. */
export function createFolder() {
  const path = mkdtempSync(join(tmpdir(), 'review-'));
  return {
    path,
    remove() {
      rmSync(path, { recursive: true, force: true });
    },
  };
}

/** Three parts of a loopback address that other runs on this machine hardly have. */
export function chooseNetwork() {
  return `127.${40 + (process.pid % 150)}.${Math.floor(process.pid / 150) % 250}`;
}

/**
 * Runs a case with a bound on its time, and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
 *
 * @param play resolves to whether the rule was broken
 */
export async function runCase(record, play) {
  const cleanups = [];
  const bound = setTimeout(() => {
    record.write('the case ran out of time');
    void finish(2);
  }, 115_000);

  async function finish(code) {
    clearTimeout(bound);
    for (const cleanup of cleanups.reverse()) {
      try {
        await cleanup();
      } catch (error) {
        record.write(`clean-up failed: ${String(error)}`);
      }
    }
    await record.close();
    process.exit(code);
  }

  for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => void finish(2));
  let code = 2;
  try {
    const isBroken = await play((cleanup) => cleanups.push(cleanup));
    code = isBroken ? 1 : 0;
  } catch (error) {
    record.write(`the case could not run: ${String(error?.stack ?? error)}`);
  }
  await finish(code);
}
