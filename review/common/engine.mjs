/**
 * A stand-in for a model worker: it reads prompts or writes streams, whichever is its stage, takes orders, and ends and
 * starts again under its id. It knows nothing of before then; its `sequence` starts anew, and `born` is its new start.
 */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { hostOf, listen } from './platform.mjs';

/** Prompts that were read and not yet taken, of all engines: ADDRESS/HANDLE. */
const handles = new Set();

const SWITCH_MS = 3_000;
const HANDLE_MS = 5_000;
const READ_MS = 5;

/**
 * Creates a model worker that isn't started yet.
 *
 * @param terms its id, host, stage, the events of a stream, the time between two of them in ms, and who hears of runs
 */
export function createEngine({
  id,
  last,
  stage: firstStage,
  slots,
  events,
  eventMs,
  ran,
  ended,
  fails,
}) {
  let server;
  let address;
  let stage = firstStage;
  let version;
  let bornAtMs;
  let sequence = 0;
  let running = 0;
  let busy = false;

  function echo(request) {
    return { 'X-Request-Id': request.headers['x-request-id'] ?? '' };
  }

  function decline(request, response, status, headers = {}) {
    response.writeHead(status, { ...echo(request), 'X-Not-Executed': '1', ...headers }).end();
  }

  function json(response, body) {
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
  }

  function read(request, response) {
    const handle = randomBytes(6).toString('hex');
    const from = address;
    setTimeout(() => {
      handles.add(`${from}/${handle}`);
      setTimeout(() => handles.delete(`${from}/${handle}`), HANDLE_MS);
      const body = JSON.stringify({ kvHandle: handle, tokens: 1, version: 1 });
      response.writeHead(200, { ...echo(request), 'Content-Type': 'application/json' }).end(body);
    }, READ_MS);
  }

  function generate(request, response) {
    const source = request.headers['x-kv-source'];
    if (running >= slots || (source !== undefined && !handles.delete(source))) {
      decline(request, response, 503);
      return;
    }
    running += 1;
    const author = version;
    const requestId = request.headers['x-request-id'];
    let event = Number(request.headers['last-event-id'] ?? 0);
    ran(request, id, author, event);
    if (fails?.(request, id) === true) return;
    response.writeHead(200, {
      ...echo(request),
      'X-Server-Signature': `${id}.${requestId}`,
      'X-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    });
    const timer = setInterval(() => {
      event += 1;
      if (event <= events)
        response.write(`id: ${event}\ndata: ${author} of ${id} part ${event}\n\n`);
      if (event >= events) response.end();
    }, eventMs);
    response.on('close', () => {
      clearInterval(timer);
      running -= 1;
      ended?.(request, id, author, event);
    });
  }

  function order(body, response) {
    const { operation, stage: next, holder, fence, expected } = JSON.parse(body);
    if (operation !== 'stage' || holder === undefined || fence === undefined) {
      response.writeHead(400).end();
    } else if (busy || (expected !== undefined && expected !== sequence)) {
      response.writeHead(409).end();
    } else if (next === stage) {
      response.writeHead(200).end();
    } else {
      sequence += 1;
      busy = true;
      response.writeHead(202).end();
      setTimeout(() => {
        stage = next;
        busy = false;
      }, SWITCH_MS);
    }
  }

  function receive(request, response, body) {
    const target = request.headers['x-target-instance'];
    const path = request.url ?? '/';
    if (target !== undefined && target !== id) {
      response.writeHead(421, { ...echo(request), 'X-Instance-Id': id }).end();
    } else if (path === '/report') {
      const models = [{ name: 'm', version: 1, adapters: [] }];
      const memory = { kvUsed: 0, kvTotal: 884_000, kvHandles: 0 };
      json(response, {
        stage,
        models,
        busy,
        sequence,
        waiting: 0,
        running,
        ...memory,
        born: bornAtMs,
      });
    } else if (path === '/kv-list') {
      json(response, { epoch: 1, next: 0, held: [] });
    } else if (path === '/order') {
      order(body, response);
    } else if (path === '/health') {
      response.writeHead(200, { 'X-Instance-Id': id }).end();
    } else if (path.startsWith('/kv-handle/')) {
      handles.delete(`${address}/${path.slice('/kv-handle/'.length)}`);
      response.writeHead(200).end();
    } else if (request.headers['x-request-id'] === undefined) {
      decline(request, response, 400);
    } else if (busy) {
      decline(request, response, 503);
    } else if (request.headers['x-stage'] === 'prefill') {
      if (stage === 'prefill') read(request, response);
      else decline(request, response, 421);
    } else if (stage === 'decode') generate(request, response);
    else decline(request, response, 421);
  }

  return {
    id,
    isUp: () => server !== undefined,
    /** Starts with a version of its software; listens where it did before. */
    async start(nextVersion) {
      version = nextVersion;
      bornAtMs = Date.now();
      [sequence, running, busy] = [0, 0, false];
      const starting = createServer((request, response) => {
        let body = '';
        request.on('data', (chunk) => {
          body += chunk.toString('utf8');
        });
        request.on('end', () => {
          receive(request, response, body);
        });
      });
      if (address === undefined) address = await listen(starting, hostOf(last));
      else {
        const [host, port] = address.split(':');
        await new Promise((resolve) => {
          starting.listen(Number(port), host, resolve);
        });
      }
      server = starting;
    },
    /** Ends as a process does that is killed: all its connections end, and its port refuses. */
    kill() {
      const ending = server;
      server = undefined;
      ending?.close();
      ending?.closeAllConnections();
      for (const handle of [...handles]) {
        if (handle.startsWith(`${address}/`)) handles.delete(handle);
      }
    },
    /** What it says of itself in the store. */
    entry: (backend, zone) => ({
      ...{ backend, address, zone, version, slots, state: 'ready', coldRemainingMs: 0, stage },
      ...{ models: [{ name: 'm', version: 1, adapters: [] }], sequence, born: bornAtMs },
    }),
    bornAt: () => performance.now(),
  };
}
