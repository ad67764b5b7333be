/**
 * A stand-in for a worker of a plain service, on bare connections, so that a faulty one can send bytes beside its
 * answers. It runs `slots` requests at once, queues a few more and turns the rest away, as the pages say.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { setTimeout } from 'node:timers';
import { hostOf, listen } from './platform.mjs';

const HEAD_END = '\r\n\r\n';

/** Reads one request from the bytes of a connection; `undefined` if it is not all there. */
function readRequest(bytes) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
  const [method, path] = first.split(' ');
  const headers = {};
  for (const line of lines) {
    const at = line.indexOf(':');
    headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
  }
  const bodyStart = headEnd + HEAD_END.length;
  if (headers['transfer-encoding'] === 'chunked') {
    const end = bytes.indexOf('0\r\n\r\n', bodyStart);
    if (end < 0) return undefined;
    return { method, path, headers, size: end + 5 };
  }
  const size = bodyStart + Number(headers['content-length'] ?? 0);
  if (bytes.length < size) return undefined;
  return { method, path, headers, size, body: bytes.subarray(bodyStart, size) };
}

function render(status, headers, body) {
  const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) });
  return `HTTP/1.1 ${status}\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`;
}

/**
 * Starts a worker.
 *
 * @param terms its id, host, slots, queue, the time of a run in ms, who hears of runs and rejections, and `isExtra`,
 * asked for each answer, whether the faulty worker sends it once more, where its next answer on that connection is due
 */
export async function startWorker({
  id,
  last,
  slots,
  queue,
  workMs,
  ran,
  rejected,
  extra,
  isExtra,
}) {
  let running = 0;
  const waiting = [];

  function startNext() {
    const next = waiting.shift();
    if (next !== undefined) run(next);
  }

  function run({ request, answer }) {
    running += 1;
    ran(request, id);
    setTimeout(() => {
      running -= 1;
      const requestId = request.headers['x-request-id'];
      answer(
        '200 OK',
        { 'X-Request-Id': requestId, 'X-Server-Signature': `${id}.${requestId}` },
        `${id} answers ${request.path}\n`,
      );
      startNext();
    }, workMs);
  }

  const server = createServer((socket) => {
    let bytes = Buffer.alloc(0);
    /** The second copy of the last answer, to be sent where the next answer is due. */
    let late;
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      const request = readRequest(bytes);
      if (request === undefined) return;
      bytes = bytes.subarray(request.size);
      if (late !== undefined) {
        extra(late.request, request, id, late.status);
        socket.write(late.text);
        late = undefined;
      }
      receive(request, (status, headers, body) => {
        const text = render(status, { ...headers, 'Keep-Alive': 'timeout=15' }, body);
        if (isExtra(status)) late = { request, text, status };
        if (!socket.destroyed) socket.write(text);
      });
    });
  });

  function receive(request, answer) {
    const requestId = request.headers['x-request-id'];
    const target = request.headers['x-target-instance'];
    const load = `${running},${waiting.length},${slots}`;
    if (target !== undefined && target !== id) {
      answer(
        '421 Misdirected Request',
        { 'X-Request-Id': requestId ?? '', 'X-Instance-Id': id },
        '',
      );
    } else if (request.path === '/health') {
      answer('200 OK', { 'X-Instance-Id': id, 'X-Instance-Load': load }, '');
    } else if (running < slots) {
      run({ request, answer });
    } else if (waiting.length < queue) {
      waiting.push({ request, answer });
    } else {
      rejected(request, id);
      answer('503 Service Unavailable', { 'X-Request-Id': requestId, 'X-Not-Executed': '1' }, '');
    }
  }

  const address = await listen(server, hostOf(last));
  return {
    id,
    address,
    close() {
      server.close();
    },
  };
}
