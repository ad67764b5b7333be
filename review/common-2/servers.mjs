/**
 * Stand-ins of backend servers and of callers for the cases of this review.
 */
import { createServer as createHttpServer, request as startRequest } from 'node:http';
import { randomBytes } from 'node:crypto';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { sleep } from './platform.mjs';

const HEARTBEAT_MS = 1_200;

/**
 * A server of a service that answers with streams of numbered events, and can start again under its id. Its entry is in
 * the store before it takes requests, where the store takes it, and is written again with each heartbeat.
 */
export async function startStreamServer({
  id,
  backend,
  host,
  store,
  version,
  slots,
  events,
  gapMs,
  record,
}) {
  const sockets = new Set();
  const running = new Set();
  let server;
  let port = 0;
  let sequence = 0;
  let beat;
  const self = { id, version, born: Date.now(), isUp: false, runs: 0 };

  function register() {
    sequence += 1;
    return store.put('servers', id, {
      backend,
      address: `${host}:${port}`,
      zone: 'hall-a',
      version: self.version,
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      born: self.born,
    });
  }

  function receive(request, response) {
    const { headers } = request;
    request.resume();
    const requestId = headers['x-request-id'];
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': id });
      response.end();
      return;
    }
    if (request.url === '/report') {
      const report = { stage: 'decode', models: [], busy: false, sequence: 0, waiting: 0 };
      const use = { running: running.size, kvUsed: 0, kvTotal: 0, kvHandles: 0 };
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify({ ...report, ...use, born: self.born }));
      return;
    }
    if (headers['x-target-instance'] !== undefined && headers['x-target-instance'] !== id) {
      response.writeHead(421, { 'X-Request-Id': requestId, 'X-Instance-Id': id });
      response.end();
      return;
    }
    const life = self.born;
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    self.runs += 1;
    record.write(`${id} ${self.version} runs ${requestId} from event ${first}`);
    response.writeHead(200, {
      'X-Request-Id': requestId,
      'X-Server-Signature': `${id}.${life}.${requestId}`,
      'Content-Type': 'text/event-stream',
    });
    let next = first;
    const timer = setInterval(write, gapMs);
    running.add(response);
    response.on('close', () => {
      clearInterval(timer);
      running.delete(response);
    });
    function write() {
      response.write(`id: ${next}\ndata: ${self.version} ${next}\n\n`);
      next += 1;
      if (next <= events) return;
      clearInterval(timer);
      response.end();
    }
    write();
  }

  async function listen() {
    server = createHttpServer(receive);
    server.keepAliveTimeout = 10_000;
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    });
    await new Promise((done) => {
      server.listen(port, host, done);
    });
    ({ port } = server.address());
    self.isUp = true;
  }

  /** Writes the entry now and with each heartbeat; returns whether the store took it now. */
  function startBeat() {
    beat = setInterval(register, HEARTBEAT_MS);
    return register();
  }

  /** The process ends, with all its connections. */
  self.stop = () => {
    self.isUp = false;
    clearInterval(beat);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };

  /** The process ends and another one starts at the same address, under the same id. */
  self.restart = async (nextVersion, downMs) => {
    record.write(`${id} ends at version ${self.version}`);
    self.stop();
    await sleep(downMs);
    self.version = nextVersion;
    self.born = Date.now();
    sequence = 0;
    const isRegistered = startBeat();
    await listen();
    record.write(`${id} is back at version ${nextVersion}; entry written: ${isRegistered}`);
  };

  await listen();
  startBeat();
  self.close = self.stop;
  return self;
}

/** An id as clients draw them. */
export function drawId() {
  return randomBytes(8).toString('hex');
}

/**
 * One client attempt of a request at a gateway.
 *
 * @param isEnough whether the client loses its connection after this much of the body; it does not by default
 * @returns the status, the body as far as it came, and whether it was complete
 */
export function attempt({
  gateway,
  method = 'POST',
  path,
  headers,
  body,
  deadlineMs = 15_000,
  isEnough = () => false,
}) {
  return new Promise((done) => {
    let text = '';
    let status;
    let answered = {};
    let isDone = false;
    function end(isComplete, reason) {
      if (isDone) return;
      isDone = true;
      done({ status, text, isComplete, reason, headers: answered });
    }
    const asked = startRequest(
      { host: gateway.host, port: gateway.ports.front, method, path, agent: false, headers },
      (response) => {
        ({ statusCode: status, headers: answered } = response);
        response.setEncoding('latin1');
        response.on('data', (chunk) => {
          text += chunk;
          if (!isEnough(text)) return;
          asked.destroy();
          end(false, 'enough');
        });
        response.on('end', () => {
          end(response.complete);
        });
        response.on('error', (error) => {
          end(false, error.code);
        });
        response.on('close', () => {
          end(false, 'closed');
        });
      },
    );
    const timer = setTimeout(() => {
      asked.destroy();
      end(false, 'deadline');
    }, deadlineMs);
    asked.on('error', (error) => {
      end(false, error.code);
    });
    asked.on('close', () => {
      clearTimeout(timer);
      end(false, 'closed');
    });
    asked.end(body);
  });
}
