/**
 * All gateways are killed at the same moment and start again two seconds later. Workers of two versions serve side by
 * side all the time. Clients take their streams up again, each at the version that began it.
 */
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { createEngine } from '../common/engine.mjs';
import { ask, createGateways, createRecord, pause, startStore } from '../common/platform.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const record = createRecord(join(HERE, 'record.txt'));

const SECONDS = 18;
const EVENTS = 50;
const EVENT_MS = 200;
const DEADLINE_MS = 15_000;
const REQUEST_MS = 200;
const KILL_MS = 7_000;
/** As long as on the days of the site files. */
const DOWN_MS = 2_000;
const CONTACT_MS = 3_000;
/** A few retries, as the pages say of clients. */
const MOST_ATTEMPTS = 5;
const ZONES = ['tema-hall', 'osu-hall', 'kaneshie-hall'];

/** Attempts of all clients: when, whether it takes a stream up, and whether it brought an event. */
const attempts = [];
/** Streams by the attempt that brought their first event: the versions that wrote their events. */
const streams = new Map();
let counter = 0;
let startedAt = Number.POSITIVE_INFINITY;
/** Since when all gateways have run, in ms of the steady clock. */
let runningSince = Number.NEGATIVE_INFINITY;
let isDown = false;

function createConfiguration() {
  const route = {
    ...{ name: 'asks', hostname: 'manual.example', pathPrefix: '/ask/', kind: 'streaming' },
    ...{ timeoutMs: DEADLINE_MS, targetLatencyMs: 300, priority: 1, backend: 'manual-llm' },
    ...{ maxAttempts: 2, sessionAffinity: true, resumable: true, gapTargetMs: 400 },
  };
  const engine = {
    slots: 128,
    kvCapacity: 884_000,
    handleTtlS: 5,
    switchS: 3,
    models: [{ name: 'm' }],
  };
  return {
    version: 7,
    routes: [route],
    services: [{ name: 'manual-llm', healthCheck: '/health', maxConnections: 630, engine }],
    limits: {
      ...{ maxHeaderBytes: 16384, maxBodyBytes: 4194304 },
      ...{ headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    },
  };
}

function ran({ headers }, worker, version, after) {
  record.write(`run ${headers['x-request-id']} at ${worker} (${version}) after event ${after}`);
}

/** Asks up to three directories where to connect; `undefined` if none answers. */
async function resolve(gateways, zone) {
  for (const { host, directoryPort } of gateways) {
    const path = `/resolve?name=manual.example&region=accra&zone=${zone}`;
    const call = { host, port: directoryPort, method: 'GET', path, timeoutMs: 1_000 };
    const { status, body } = await ask(call);
    if (status !== 200) continue;
    const { addresses } = JSON.parse(body);
    if (addresses.length > 0) return addresses[Math.floor(Math.random() * addresses.length)];
  }
  return undefined;
}

/** One client: a question, and its stream taken up again until it is whole or the client gives up. */
async function beClient(gateways, zone, question) {
  const until = performance.now() + DEADLINE_MS;
  let firstAttempt;
  let lastEvent = 0;
  for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt += 1) {
    let address = await resolve(gateways, zone);
    while (address === undefined && performance.now() < until) {
      await pause(1_000);
      address = await resolve(gateways, zone);
    }
    const leftMs = Math.floor(until - performance.now());
    if (address === undefined || leftMs < 500) return;
    counter += 1;
    const id = `c${counter}`;
    const [host, port] = address.split(':');
    const resumed = { 'Last-Event-Id': String(lastEvent), Resumes: firstAttempt };
    const headers = {
      Host: 'manual.example',
      'X-Request-Id': id,
      'X-Request-Deadline-Ms': String(leftMs),
      'X-Model': 'm',
      'X-Token-Count': '220,50',
      'X-Prompt-Prefix': `5c1e07a2:79,${(0x91bd0000 + question).toString(16)}:141`,
      'Content-Length': '8',
      ...(firstAttempt === undefined ? {} : resumed),
    };
    const sentAt = performance.now();
    const isInTouch = !isDown && sentAt - runningSince > CONTACT_MS;
    const takesUp = firstAttempt ?? '';
    record.write(
      `send ${id}${takesUp && ` takes up ${takesUp} after event ${lastEvent}`} at ${address}`,
    );
    const call = {
      host,
      port,
      method: 'POST',
      path: `/ask/${question}`,
      headers,
      body: 'question',
    };
    const answer = await ask({ ...call, timeoutMs: leftMs });
    const events = [...answer.body.matchAll(/id: (\d+)\ndata: (v\d+) of (\S+) part/g)];
    attempts.push({ id, takesUp, isInTouch, began: answer.status === 200 && events.length > 0 });
    record.write(
      `answer ${id} ${answer.status} ${events.length} events ${answer.isWhole ? 'whole' : (answer.error ?? 'cut')} ${answer.status === 200 ? '' : answer.body.trim()}`,
    );
    if (events.length > 0) {
      firstAttempt ??= id;
      lastEvent = Number(events.at(-1)[1]);
      const versions = streams.get(firstAttempt) ?? new Set();
      for (const [, , version] of events) versions.add(version);
      streams.set(firstAttempt, versions);
    }
    if (lastEvent === EVENTS) return;
    const retryAfterMs = 1_000 * Number(answer.headers['retry-after'] ?? 0);
    await pause(Math.min(retryAfterMs, (until - performance.now()) / 3));
  }
}

async function main() {
  const store = await startStore();
  store.put('op', 'config', createConfiguration());
  const engines = [];
  for (const [index, version] of ['v1', 'v1', 'v1', 'v1', 'v2', 'v2', 'v2', 'v2'].entries()) {
    const stage = index % 2 === 0 ? 'prefill' : 'decode';
    const engine = createEngine({
      ...{ id: `i-${10 + index}a91c2`, last: 100 + index, stage, slots: 128 },
      ...{ events: EVENTS, eventMs: EVENT_MS, ran },
    });
    await engine.start(version);
    store.put('servers', engine.id, engine.entry('manual-llm', ZONES[index % ZONES.length]));
    engines.push(engine);
  }
  const fleet = await createGateways(store.address, ZONES);
  const { gateways } = fleet;
  let isReady = true;
  for (const gateway of gateways) gateway.start();
  for (const gateway of gateways) isReady &&= await gateway.isReady();
  if (!isReady) {
    record.write('the gateways did not become ready');
    await fleet.end();
    return 2;
  }
  await pause(CONTACT_MS);
  runningSince = performance.now() - CONTACT_MS;

  startedAt = performance.now();
  async function cause() {
    await pause(KILL_MS);
    record.write('all gateways are killed');
    isDown = true;
    for (const gateway of gateways) gateway.signal('SIGKILL');
    await pause(DOWN_MS);
    for (const gateway of gateways) gateway.start();
    record.write('all gateways are started');
    for (const gateway of gateways) await gateway.isReady();
    runningSince = performance.now();
    isDown = false;
    record.write('all gateways are ready');
  }
  const troubles = hasTrouble ? cause() : Promise.resolve();

  const clients = [];
  while (performance.now() - startedAt < SECONDS * 1_000) {
    clients.push(beClient(gateways, ZONES[clients.length % ZONES.length], clients.length));
    await pause(REQUEST_MS);
  }
  await Promise.all([...clients, troubles]);
  const alive = gateways.every((gateway) => gateway.isRunning());
  await fleet.end();
  store.close();
  for (const engine of engines) engine.kill();
  return judge(alive);
}

/** LOST: of 12 or more streams taken up at machines in touch, the share that goes on is under half of that of new ones. */
function judge(alive) {
  const inTouch = attempts.filter(({ isInTouch }) => isInTouch);
  const fresh = inTouch.filter(({ takesUp }) => takesUp === '');
  const begun = fresh.filter(({ began }) => began).length;
  const takenUp = new Set();
  const goneOn = new Set();
  for (const { takesUp, began } of inTouch) {
    if (takesUp === '') continue;
    takenUp.add(takesUp);
    if (began) goneOn.add(takesUp);
  }
  const mixed = [...streams.values()].filter((versions) => versions.size > 1).length;
  record.write(`new streams at machines in touch: ${begun} of ${fresh.length} began`);
  record.write(`streams taken up at machines in touch: ${goneOn.size} of ${takenUp.size} went on`);
  record.write(`streams with events of two versions: ${mixed}`);
  if (!alive || begun === 0) return 2;
  const isBroken = takenUp.size >= 12 && goneOn.size / takenUp.size < begun / fresh.length / 2;
  if (isBroken) record.write('LOST: under half of the share of new streams');
  return isBroken ? 1 : 0;
}

const result = await main().catch((error) => {
  record.write(`could not run: ${error.stack}`);
  return 2;
});
record.save();
process.exit(result);
