/**
 * The HTTP server that every stand-in runs: it reads requests, lets the fault switch act on them,
 * and serves the control paths below `/-/`: `POST /-/faults` sets one fault, `GET /-/faults` lists
 * them, `GET /-/record?after=n` gives the record and `GET /-/counts` how often each path was asked.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { z } from 'zod';
import { wait } from '../../src/task/index.js';
import { createFaultSwitch, findFault, type AnyFault, type CommonFault } from './fault.js';
import type { OwnClock } from './own-clock.js';
import type { History, Stamped } from './record.js';

/** A request as a stand-in's handler sees it. */
export interface Received<Fault> {
  method: string;
  url: URL;
  body: Buffer;
  headers: IncomingMessage['headers'];
  /** Faults that the request meets; the common ones are dealt with by the server. */
  faults: readonly (Fault | CommonFault)[];
  /** For handlers that write the answer themselves. */
  response: ServerResponse;
}

/** What a handler answers; `undefined` when it writes the answer itself. */
export interface Reply {
  status: number;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
}

/** What a server is made of. */
export interface ServerTerms<Fault extends AnyFault, Entry> {
  /** `host:port`; port 0 takes a free one. */
  listen: string;
  /** Stopped together with the server. */
  clock: OwnClock;
  faultSchema: z.ZodType<Fault | CommonFault>;
  history: History<Entry>;
  handle(received: Received<Fault>): Reply | undefined | Promise<Reply | undefined>;
  /** The answer of a stand-in that declines before it does anything. */
  decline(received: Received<Fault>): Reply;
  /** Hears of a fault when it is set. */
  onFault?(fault: Fault | CommonFault): void;
}

/** A running stand-in, as tests that embed it see it. */
export interface StandIn<Fault, Entry> {
  /** `host:port` */
  readonly address: string;
  /** `http://host:port` */
  readonly origin: string;
  /** Adds a fault; `none` clears them all. */
  setFault(fault: Fault | CommonFault): void;
  /** What was received and done so far, oldest first. */
  entries(): Stamped<Entry>[];
  /** How often each method and path was asked; keys of rows and objects are left out. */
  counts(): Record<string, number>;
  /** Breaks all connections and stops listening. */
  stop(): Promise<void>;
}

/** A stand-in's server. */
export interface StandInServer<Fault, Entry> extends StandIn<Fault, Entry> {
  /** Breaks all connections and refuses new ones for a while, like a process that is restarted. */
  restart(downMs: number): void;
}

/** Starts a server; resolves when it listens. */
export async function startServer<Fault extends AnyFault, Entry>(
  terms: ServerTerms<Fault, Entry>,
): Promise<StandInServer<Fault, Entry>> {
  const { clock, history } = terms;
  const faults = createFaultSwitch<Fault | CommonFault>();
  const counts = new Map<string, number>();
  const sockets = new Set<Socket>();

  const server = createServer((request, response) => {
    void serve(request, response);
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });

  async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const method = request.method ?? 'GET';
    const control = handleControl(method, url, body);
    if (control !== undefined) {
      send(response, control);
      return;
    }
    count(method, url.pathname);
    const met = faults.take(url.pathname);
    const received = { method, url, body, headers: request.headers, faults: met, response };
    await act(received, request.socket);
  }

  async function act(received: Received<Fault>, socket: Socket): Promise<void> {
    const met: readonly AnyFault[] = received.faults;
    const common = met as readonly CommonFault[];
    const delay = findFault(common, 'delay');
    if (delay !== undefined) await wait(clock, delay.ms);
    if (findFault(common, 'cut') !== undefined) {
      socket.destroy();
      return;
    }
    if (findFault(common, 'unavailable') !== undefined) {
      send(received.response, terms.decline(received));
      return;
    }
    const reply = await terms.handle(received);
    if (reply === undefined) return;
    const late = findFault(common, 'delay-answer');
    if (late !== undefined) await wait(clock, late.ms);
    if (findFault(common, 'drop-answer') !== undefined) socket.destroy();
    else send(received.response, reply);
  }

  function count(method: string, path: string): void {
    const name = `${method} /${path.split('/').slice(1, 3).join('/')}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }

  function handleControl(method: string, url: URL, body: Buffer): Reply | undefined {
    const name = `${method} ${url.pathname}`;
    if (name === 'POST /-/faults') return setFaultFrom(body);
    if (name === 'GET /-/faults') return createJsonReply(200, { faults: faults.list() });
    if (name === 'GET /-/counts') return createJsonReply(200, { counts: listCounts() });
    if (name !== 'GET /-/record') return undefined;
    const after = Number(url.searchParams.get('after') ?? 0);
    return createJsonReply(200, { entries: history.entries(after), dropped: history.dropped() });
  }

  function setFaultFrom(body: Buffer): Reply {
    const fault = parseBody(terms.faultSchema, body);
    if (!fault.success) return createJsonReply(400, { message: z.prettifyError(fault.error) });
    setFault(fault.data);
    return createJsonReply(200, { faults: faults.list() });
  }

  function setFault(fault: Fault | CommonFault): void {
    faults.set(fault);
    terms.onFault?.(fault);
  }

  function listCounts(): Record<string, number> {
    return Object.fromEntries(counts);
  }

  function listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  function breakConnections(): void {
    for (const socket of sockets) socket.destroy();
  }

  const [host = '127.0.0.1', port = '0'] = terms.listen.split(':');
  await listen(host, Number(port));
  const bound = (server.address() as AddressInfo).port;
  const address = `${host}:${bound}`;

  return {
    address,
    origin: `http://${address}`,
    setFault,
    entries: () => history.entries(),
    counts: listCounts,
    async stop() {
      clock.stop();
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
        breakConnections();
      });
    },
    restart(downMs) {
      server.close();
      breakConnections();
      clock.after(downMs, () => {
        void listen(host, bound);
      });
    },
  };
}

/** Reads JSON by a schema. */
export function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  body: Buffer,
): z.ZodSafeParseResult<z.infer<Schema>> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    value = undefined;
  }
  return schema.safeParse(value);
}

/** Makes an answer of JSON. */
export function createJsonReply(status: number, value: unknown): Reply {
  const headers = { 'content-type': 'application/json' };
  return { status, headers, body: JSON.stringify(value) };
}

function send(response: ServerResponse, reply: Reply): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(reply.status, reply.headers);
  response.end(reply.body);
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
