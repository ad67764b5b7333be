/**
 * Workers of a plain service turn requests away while they are full. One of them is faulty: some of its answers come a
 * second time, late, where the next answer on the connection is due. The id in them tells whose they are.
 */
import { Agent } from 'node:http';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { ask, createGateways, createRecord, pause, startStore } from '../common/platform.mjs';
import { startWorker } from '../common/worker.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const record = createRecord(join(HERE, 'record.txt'));

const SLOTS = 6;
const QUEUE = 4;
const WORK_MS = 30;
/** Clients that ask within a short time, and the time between two such times: more than both workers hold at once. */
const CLUMP = 50;
const SPREAD_MS = 60;
const CLUMP_MS = 220;
const SECONDS = 34;
/** The dose of the site files: 0.03 of the answers, of 0.6 of the workers at most, for 5 s; it comes three times. */
const EXTRA_SHARE = 0.03;
const EXTRA_FROM_MS = [3_000, 13_000, 23_000];
const EXTRA_MS = 5_000;

/** Ids of the requests that ran, and how often. */
const runs = new Map();
const answers = new Map();
let extras = 0;
let startedAt = Number.POSITIVE_INFINITY;

function isExtra() {
  const now = performance.now() - startedAt;
  const isFaulty = EXTRA_FROM_MS.some((from) => now >= from && now < from + EXTRA_MS);
  if (!hasTrouble || !isFaulty || Math.random() >= EXTRA_SHARE) return false;
  extras += 1;
  return true;
}

function ran({ headers }, worker) {
  const id = headers['x-request-id'];
  runs.set(id, (runs.get(id) ?? 0) + 1);
  record.write(`run ${id} at ${worker}`);
}

function rejected({ headers }, worker) {
  record.write(`turned away ${headers['x-request-id']} at ${worker}`);
}

function extra(first, next, worker, status) {
  const [of, due] = [first.headers['x-request-id'], next.headers['x-request-id']];
  record.write(
    `second answer (${status}, X-Request-Id ${of}) at ${worker} where that to ${due} is due`,
  );
}

function createConfiguration() {
  const route = { hostname: 'parts.example', timeoutMs: 800, targetLatencyMs: 193, priority: 2 };
  const plain = {
    kind: 'non_idempotent',
    backend: 'catalogue',
    sessionAffinity: false,
    resumable: false,
  };
  return {
    version: 7,
    routes: [
      { ...route, ...plain, name: 'sheets', pathPrefix: '/sheet/', maxAttempts: 1 },
      { ...route, ...plain, name: 'stubs', pathPrefix: '/stub/', maxAttempts: 2 },
    ],
    services: [{ name: 'catalogue', healthCheck: '/health', maxConnections: 110, protocol: 'h1' }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

async function main() {
  const store = await startStore();
  store.put('op', 'config', createConfiguration());
  const workers = [];
  for (const [index, id] of ['i-7f3a91c2', 'i-02d9e6b4'].entries()) {
    const isFaulty = index === 0;
    workers.push(
      await startWorker({
        ...{ id, last: 100 + index, slots: SLOTS, queue: QUEUE, workMs: WORK_MS },
        ...{ ran, rejected, extra, isExtra: isFaulty ? isExtra : () => false },
      }),
    );
  }
  function beat() {
    for (const [index, { id, address }] of workers.entries()) {
      const zone = index === 0 ? 'tema-hall' : 'osu-hall';
      const own = { backend: 'catalogue', address, zone, version: 'v1', slots: SLOTS };
      store.put('servers', id, { ...own, state: 'ready', coldRemainingMs: 0, sequence: 0 });
    }
  }
  beat();
  const fleet = await createGateways(store.address, ['tema-hall', 'osu-hall']);
  let isReady = true;
  for (const gateway of fleet.gateways) gateway.start();
  for (const gateway of fleet.gateways) isReady &&= await gateway.isReady();
  if (!isReady) {
    record.write('the gateways did not become ready');
    await fleet.end();
    store.close();
    return 2;
  }
  await pause(1_500);
  const agent = new Agent({ keepAlive: true, maxSockets: 200 });
  const pending = [];
  startedAt = performance.now();
  let counter = 0;

  async function sendOne() {
    counter += 1;
    const id = `c${counter}`;
    const { host, port } = fleet.gateways[counter % fleet.gateways.length];
    const path = `/${counter % 4 < 2 ? 'sheet' : 'stub'}/${counter}`;
    const headers = {
      Host: 'parts.example',
      'X-Request-Id': id,
      'X-Request-Deadline-Ms': '1500',
      'Content-Length': '4',
    };
    const call = { host, port, method: 'POST', path, headers, body: 'page' };
    record.write(`send ${id} ${path} at ${host}:${port}`);
    const answer = await ask({ ...call, agent, timeoutMs: 1_500 });
    answers.set(id, answer);
    record.write(`answer ${id} ${answer.status} ${(answer.body || answer.error || '').trim()}`);
  }

  while (performance.now() - startedAt < SECONDS * 1_000) {
    for (let index = 0; index < CLUMP; index += 1) {
      pending.push(pause(SPREAD_MS * Math.random()).then(sendOne));
    }
    await pause(CLUMP_MS);
  }
  await Promise.all(pending);
  await pause(500);
  const alive = fleet.gateways.every((gateway) => gateway.isRunning());
  await fleet.end();
  agent.destroy();
  store.close();
  return judge(alive);
}

/** REFUSED and TWICE as the rules have them. */
function judge(alive) {
  let broken = 0;
  let served = 0;
  for (const [id, { status }] of answers) {
    const count = runs.get(id) ?? 0;
    if (status === 200) served += 1;
    if (count > 1) {
      broken += 1;
      record.write(`TWICE: ${id} ran ${count} times`);
    }
    if ([429, 503, 408, 421].includes(status) && count > 0) {
      broken += 1;
      record.write(`REFUSED: ${id} was answered ${status} and has run`);
    }
  }
  record.write(
    `${answers.size} requests, ${served} served, ${extras} second answers, ${broken} broken`,
  );
  if (!alive || served === 0) return 2;
  return broken > 0 ? 1 : 0;
}

const result = await main().catch((error) => {
  record.write(`could not run: ${error.stack}`);
  return 2;
});
record.save();
process.exit(result);
