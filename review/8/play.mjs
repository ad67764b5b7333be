/**
 * Callers whose streams have begun lose their connections and take the streams up again some seconds later. Meanwhile all
 * gateways are killed at the same moment and start again, and then a release begins: a server of another software version
 * starts beside the others.
 */
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import {
  chooseNetwork,
  createFolder,
  createGateway,
  createRecord,
  runCase,
  sleep,
  startStore,
  until,
} from '../common-2/platform.mjs';
import { attempt, drawId, startStreamServer } from '../common-2/servers.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const HOST_NAME = 'ficu95.example';
const ROUTE = '/lohu930/';
const EVENTS = 100;
const GAP_MS = 100;
const STREAMS = 30;
const CONTACT_MS = 3_000;
/** Between two requests, so that the gateways are not overloaded. */
const PAUSE_MS = 50;
/** Streams below which their share says nothing, and the least share, as the rule has them. */
const MIN_TAKEN_UP = 12;
const LEAST_SHARE = 0.5;

const record = createRecord(fileURLToPath(new URL('record.txt', import.meta.url)));

const configuration = {
  version: 7,
  routes: [
    {
      name: 'r-answers',
      hostname: HOST_NAME,
      pathPrefix: ROUTE,
      kind: 'streaming',
      timeoutMs: 15_000,
      targetLatencyMs: 300,
      gapTargetMs: 200,
      priority: 1,
      backend: 'huvo11a',
      maxAttempts: 2,
      resumable: true,
    },
  ],
  services: ['huvo11a'].map((name) => ({
    name,
    healthCheck: '/health',
    maxConnections: 360,
    protocol: 'h1',
    tls: false,
  })),
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

function readIds(text) {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

await runCase(record, async (atEnd) => {
  record.write(isTroubled ? 'with the disruption' : 'without the disruption');
  const network = chooseNetwork();
  const folder = createFolder();
  atEnd(folder.remove);
  const store = await startStore(`${network}.2`);
  atEnd(store.close);
  store.put('op', 'config', configuration);
  async function startServer(id, version, part) {
    const server = await startStreamServer({
      id,
      backend: 'huvo11a',
      host: `${network}.${part}`,
      store,
      version,
      slots: 64,
      events: EVENTS,
      gapMs: GAP_MS,
      record,
    });
    atEnd(server.close);
    record.write(`${id} of version ${version} has started`);
  }
  await startServer('i-70d7a70a24', 'v1', 20);
  await startServer('i-5733c9a271', 'v1', 21);
  await startServer('i-91bc02fe55', 'v1', 22);
  const gateways = [];
  for (const index of [0, 1, 2]) {
    const gateway = await createGateway({
      node: `front-${index + 1}`,
      host: `${network}.${10 + index}`,
      store: store.address,
      folder: folder.path,
    });
    atEnd(gateway.end);
    gateways.push(gateway);
  }
  const seeds = gateways.map(({ control }) => control);
  for (const gateway of gateways) gateway.start(seeds);
  for (const gateway of gateways) {
    if (!(await until(gateway.isReady))) throw new Error(`${gateway.node} is not ready`);
  }
  await sleep(Number(process.env.RUN_IN_MS ?? 5_000));

  /** One try of a stream; after `breakAfter` events its caller loses the connection. */
  async function send(index, headers, breakAfter) {
    const id = drawId();
    const gateway = gateways[index % gateways.length];
    const answer = await attempt({
      gateway,
      path: `${ROUTE}${index}`,
      headers: {
        Host: HOST_NAME,
        'X-Request-Id': id,
        'X-Request-Deadline-Ms': '15000',
        'Content-Length': '5',
        ...headers,
      },
      body: 'hello',
      isEnough: (text) => readIds(text).length >= breakAfter,
    });
    const ids = readIds(answer.text);
    record.write(
      `client sent ${id} to ${gateway.node} ${JSON.stringify(headers)}, got ${answer.status}, ` +
        `events ${ids.at(0)} to ${ids.at(-1)}, complete ${answer.isComplete}` +
        (answer.status === 200 ? '' : `: ${answer.text.trim()}`),
    );
    return { id, status: answer.status, ids };
  }

  const first = await Promise.all(
    Array.from({ length: STREAMS }, async (_, index) => {
      await sleep(index * PAUSE_MS);
      return send(index, {}, 10);
    }),
  );
  if (isTroubled) {
    record.write('all gateways are killed');
    for (const gateway of gateways) gateway.signal('SIGKILL');
    await until(() => gateways.every((gateway) => !gateway.isRunning()));
    await sleep(500);
    for (const gateway of gateways) gateway.start(seeds);
    for (const gateway of gateways) {
      if (!(await until(gateway.isReady))) throw new Error(`${gateway.node} is not ready`);
    }
    record.write('all gateways are ready again');
  }
  await sleep(1_000);
  await startServer('i-02d9e6b4a1', 'v2', 23);
  await sleep(CONTACT_MS + 200);
  record.write('the streams are taken up');
  const second = await Promise.all(
    first.map(async ({ id, ids }, index) => {
      if (ids.length === 0) return undefined;
      await sleep(index * PAUSE_MS);
      const headers = { 'Last-Event-Id': String(ids.at(-1)), Resumes: id };
      return send(index + 1, headers, 5);
    }),
  );
  const fresh = await Promise.all(
    Array.from({ length: STREAMS }, async (_, index) => {
      await sleep(index * PAUSE_MS);
      return send(index, {}, 5);
    }),
  );
  const takenUp = second.filter((answer) => answer !== undefined);
  const wentOn = takenUp.filter(({ ids }) => ids.length > 0).length;
  const begun = fresh.filter(({ ids }) => ids.length > 0).length;
  const share = wentOn / takenUp.length;
  const freshShare = begun / fresh.length;
  record.write(
    `${wentOn} of ${takenUp.length} streams that were taken up went on; ${begun} of ${fresh.length} new ones began`,
  );
  if (takenUp.length < MIN_TAKEN_UP) throw new Error('too few streams were taken up');
  return share < LEAST_SHARE * freshShare;
});
