/**
 * Clients send two idempotent requests one behind the other on a kept connection, as HTTP/1.1 lets them. Both are at work
 * at a server when their gateway is told to stop.
 */
import { createServer as createHttpServer } from 'node:http';
import { connect } from 'node:net';
import process from 'node:process';
import { setTimeout } from 'node:timers';
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
import { drawId } from '../common-2/servers.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const HOST_NAME = 'ficu95.example';
const ROUTE = '/cufi504/';
const CLIENTS = 20;
const WORK_MS = 500;

const record = createRecord(fileURLToPath(new URL('record.txt', import.meta.url)));

const configuration = {
  version: 7,
  routes: [
    {
      name: 'r-pages',
      hostname: HOST_NAME,
      pathPrefix: ROUTE,
      kind: 'idempotent',
      timeoutMs: 4_000,
      targetLatencyMs: 600,
      priority: 2,
      backend: 'wuno96b',
      maxAttempts: 2,
    },
  ],
  services: [
    { name: 'wuno96b', healthCheck: '/health', maxConnections: 200, protocol: 'h1', tls: false },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

/** A server of pages that takes some time for each. */
async function startPages(host, id, run) {
  const server = createHttpServer((request, response) => {
    request.resume();
    const requestId = request.headers['x-request-id'];
    run.add(requestId);
    record.write(`${id} runs ${requestId}`);
    setTimeout(() => {
      const body = `page of ${requestId}`;
      response.writeHead(200, {
        'X-Request-Id': requestId,
        'X-Server-Signature': `${id}.${requestId}`,
        'Content-Length': body.length,
      });
      response.end(body);
    }, WORK_MS);
  });
  await new Promise((done) => {
    server.listen(0, host, done);
  });
  return server;
}

await runCase(record, async (atEnd) => {
  record.write(isTroubled ? 'with the disruption' : 'without the disruption');
  const network = chooseNetwork();
  const folder = createFolder();
  atEnd(folder.remove);
  const store = await startStore(`${network}.2`);
  atEnd(store.close);
  store.put('op', 'config', configuration);
  const run = new Set();
  for (const [index, id] of ['i-70d7a70a24', 'i-5733c9a271'].entries()) {
    const host = `${network}.${20 + index}`;
    const server = await startPages(host, id, run);
    atEnd(() => {
      server.close();
      server.closeAllConnections();
    });
    store.put('servers', id, {
      backend: 'wuno96b',
      address: `${host}:${server.address().port}`,
      zone: 'hall-a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: Date.now(),
    });
  }
  const gateways = [];
  for (const index of [0, 1]) {
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
  await sleep(4_000);
  const [gateway] = gateways;

  /** Sends two requests on one connection; resolves to the answers once all are there or the connection has ended. */
  async function askTwice() {
    const ids = [drawId(), drawId()];
    const socket = connect(gateway.ports.front, gateway.host);
    let text = '';
    let isClosed = false;
    socket.setEncoding('latin1');
    socket.on('data', (chunk) => (text += chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => (isClosed = true));
    for (const id of ids) {
      socket.write(
        `GET ${ROUTE}${id} HTTP/1.1\r\nHost: ${HOST_NAME}\r\nX-Request-Id: ${id}\r\n` +
          'X-Request-Deadline-Ms: 4000\r\n\r\n',
      );
      record.write(`client sent ${id}`);
      await sleep(100);
    }
    const isWhole = (id) => text.includes(`page of ${id}`);
    await until(() => isClosed || ids.every(isWhole), 4_500);
    socket.destroy();
    for (const id of ids) {
      record.write(
        `client got ${id}: whole ${isWhole(id)}, run ${run.has(id)}, closed ${isClosed}`,
      );
    }
    return ids.filter((id) => !isWhole(id) && run.has(id) && isClosed);
  }

  const asking = Array.from({ length: CLIENTS }, askTwice);
  await sleep(300);
  if (isTroubled) {
    record.write(`${gateway.node} is told to stop`);
    gateway.signal('SIGTERM');
  }
  const lost = (await Promise.all(asking)).flat();
  record.write(`${lost.length} of ${2 * CLIENTS} requests were passed on and got no answer`);
  return lost.length > 0;
});
