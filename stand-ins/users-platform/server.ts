/**
 * A stand-in for one backend server of the users' platform, plain service or model engine. By
 * itself it answers as a sound server does; tests script single answers, down to the bytes.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { addressOf, closeServer, listen } from './store.js';

/** Paths that are no requests of callers. */
const CALLS = /^\/(report|kv-list|order|kv-handle\/.*)$/;

/** A request as the server received it. */
export interface ReceivedRequest {
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: Buffer;
  /** The peer's port: tells connections apart. */
  connection: number;
  /** When it came, in ms of the process's steady clock. */
  at: number;
  /** Whether the peer has closed the connection before the answer was complete. */
  isAbandoned: boolean;
}

/** Answers one request in place of the sound server. */
export type ScriptedAnswer = (request: ReceivedRequest, response: ServerResponse) => void;

/** The stand-in. */
export interface ServerStandIn {
  id: string;
  address: string;
  /** Requests so far, without health checks, reports and lists of cached parts. */
  received(): readonly ReceivedRequest[];
  /** Orders so far. */
  orders(): readonly Record<string, unknown>[];
  /** Whether the process has ended. */
  hasEnded(): boolean;
  /** Handles that were freed. */
  released(): readonly string[];
  /** Headers that all its answers to requests have from now on. */
  say(headers: Record<string, string>): void;
  /** Headers that all its answers to reports, lists, orders and releases have from now on. */
  sayInCalls(headers: Record<string, string>): void;
  /** Turns all requests away from now on, with these headers; `undefined` ends it. */
  turnAway(headers: Record<string, string> | undefined): void;
  /** Answers the next requests by a script; the sound server goes on after it. */
  script(...answers: ScriptedAnswer[]): void;
  close(): Promise<void>;
}

/** What a stand-in is. */
export interface ServerStandInTerms {
  id: string;
  /** Events that each stream has. */
  events?: number;
  role?: 'prefill' | 'decode';
  /** Version of its software, which it writes into its events. */
  version?: string;
  /** Whether a send of a stream breaks off after its next event. */
  breaksStream?: (request: ReceivedRequest) => boolean;
  /** Holds a stream after its next event until this is settled; not at all if it returns nothing. */
  holdsStream?: (request: ReceivedRequest) => Promise<void> | undefined;
  /** The process ends, and with it all connections, when it begins to run a request with this body. */
  endsOn?: string;
  /** The process ends when it begins to write an answer on a prompt with this part. */
  endsOnPart?: string;
  /** Time that an engine takes to read a prompt, in ms; twice as long where it generates. */
  readMs?: number;
  /** Parts of prompts that an engine says it has cached, with their tokens. */
  cached?: readonly (readonly [id: string, tokens: number])[];
}

/**
 * Starts the stand-in on a free port.
 *
 * @param terms what the server is
 */
export async function startServerStandIn(terms: ServerStandInTerms): Promise<ServerStandIn> {
  const { id, readMs = 0 } = terms;
  const received: ReceivedRequest[] = [];
  const orders: Record<string, unknown>[] = [];
  const released: string[] = [];
  const scripts: ScriptedAnswer[] = [];
  let handles = 0;
  let ended = false;
  let said: Record<string, string> = {};
  let saidInCalls: Record<string, string> = {};
  let turningAway: Record<string, string> | undefined;

  function answerRequest(request: ReceivedRequest, response: ServerResponse): void {
    const script = scripts.shift();
    if (script !== undefined) {
      script(request, response);
      return;
    }
    const target = request.headers['x-target-instance'];
    const isReading = request.headers['x-stage'] === 'prefill';
    if (!isReading && endsServer(request)) {
      ended = true;
      void closeServer(server);
      return;
    }
    if (turningAway !== undefined) {
      response.writeHead(503, { ...echo(request), 'X-Not-Executed': '1', ...turningAway }).end();
    } else if (target !== undefined && target !== id) {
      response.writeHead(421, { ...echo(request), 'X-Instance-Id': id }).end();
    } else if (isReading) {
      handles += 1;
      const body = { kvHandle: `handle-${handles}`, tokens: 1, version: 1 };
      response.writeHead(200, echo(request)).end(JSON.stringify(body));
    } else if (terms.events !== undefined) {
      writeStream(request, response, terms.events);
    } else {
      const body = `${id} answers ${request.path}`;
      response.writeHead(200, sign(request, id)).end(body);
    }
  }

  function writeStream(request: ReceivedRequest, response: ServerResponse, events: number): void {
    const { version } = terms;
    const held = terms.holdsStream?.(request);
    if (held !== undefined) void holdStream(request, response, { held, events, version });
    else if (terms.breaksStream?.(request) === true) breakStream(request, response, 1, version);
    else writeEvents(request, response, events, version);
  }

  function endsServer({ headers, body }: ReceivedRequest): boolean {
    const parts = String(headers['x-prompt-prefix'] ?? '').split(',');
    const hasPart = parts.some((part) => part.split(':', 1)[0] === terms.endsOnPart);
    return hasPart || (terms.endsOn !== undefined && body.toString() === terms.endsOn);
  }

  /** Time that reading a request's prompt takes; none where another engine has read it. */
  function resolveReadMs({ headers }: ReceivedRequest): number {
    if (headers['x-stage'] === 'prefill') return readMs;
    return headers['x-kv-source'] === undefined ? 2 * readMs : 0;
  }

  async function receive(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { method = '', url: path = '' } = message;
    const chunks: Buffer[] = [];
    for await (const chunk of message) {
      chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks);
    const isCall = CALLS.test(path);
    const headers = Object.entries(isCall ? saidInCalls : said);
    for (const [name, value] of headers) response.setHeader(name, value);
    if (path === '/report') {
      const report = { stage: terms.role ?? 'decode', busy: false, sequence: orders.length };
      response.writeHead(200).end(JSON.stringify(report));
    } else if (path === '/kv-list') {
      const held = (terms.cached ?? []).map(([id, tokens]) => ['', id, tokens, 'm']);
      response.writeHead(200).end(JSON.stringify({ epoch: 1, next: 0, held }));
    } else if (path === '/order') {
      orders.push(JSON.parse(body.toString('utf8')) as Record<string, unknown>);
      response.writeHead(202).end();
    } else if (path.startsWith('/kv-handle/')) {
      released.push(path.slice('/kv-handle/'.length));
      response.writeHead(200).end();
    } else {
      const connection = message.socket.remotePort ?? 0;
      const request: ReceivedRequest = {
        method,
        path,
        headers: message.headers,
        body,
        connection,
        at: performance.now(),
        isAbandoned: false,
      };
      received.push(request);
      response.on('close', () => {
        if (!response.writableFinished) request.isAbandoned = true;
      });
      const delayMs = resolveReadMs(request);
      if (delayMs === 0) answerRequest(request, response);
      else setTimeout(answerRequest, delayMs, request, response);
    }
  }

  const server = createServer((request, response) => {
    void receive(request, response);
  });
  await listen(server);
  return {
    id,
    address: addressOf(server),
    received: () => received,
    orders: () => orders,
    released: () => released,
    hasEnded: () => ended,
    say(headers) {
      said = headers;
    },
    sayInCalls(headers) {
      saidInCalls = headers;
    },
    turnAway(headers) {
      turningAway = headers;
    },
    script(...answers) {
      scripts.push(...answers);
    },
    close: () => closeServer(server),
  };
}

/** Headers by which a server shows whose request it answers. */
export function echo(request: ReceivedRequest): Record<string, string> {
  const requestId = request.headers['x-request-id'];
  return typeof requestId === 'string' ? { 'X-Request-Id': requestId } : {};
}

/** Headers by which a server vouches for its answer. */
export function sign(request: ReceivedRequest, id: string): Record<string, string> {
  return { ...echo(request), 'X-Server-Signature': `signed-by-${id}` };
}

/** Writes a stream of numbered events after the last one that the request names. */
export function writeEvents(
  request: ReceivedRequest,
  response: ServerResponse,
  events: number,
  version?: string,
): void {
  beginStream(request, response);
  for (let event = resolveLastEvent(request) + 1; event <= events; event += 1) {
    response.write(renderEvent(event, version));
  }
  response.end();
}

/** Writes some more events of a stream and breaks off. */
export function breakStream(
  request: ReceivedRequest,
  response: ServerResponse,
  events: number,
  version?: string,
): void {
  beginStream(request, response);
  const last = resolveLastEvent(request);
  const ids = Array.from({ length: events }, (_, index) => last + index + 1);
  response.write(ids.map((id) => renderEvent(id, version)).join(''), () => response.destroy());
}

/** Writes a stream's next event, and the others once it is no longer held. */
async function holdStream(
  request: ReceivedRequest,
  response: ServerResponse,
  terms: { held: Promise<void>; events: number; version: string | undefined },
): Promise<void> {
  const { held, events, version } = terms;
  const next = resolveLastEvent(request) + 1;
  beginStream(request, response);
  response.write(renderEvent(next, version));
  await held;
  for (let event = next + 1; event <= events; event += 1) {
    response.write(renderEvent(event, version));
  }
  response.end();
}

/** Sends the head of a stream. */
export function beginStream(request: ReceivedRequest, response: ServerResponse): void {
  response.writeHead(200, {
    ...sign(request, String(request.headers['x-target-instance'] ?? '')),
    'Content-Type': 'text/event-stream',
  });
}

function resolveLastEvent({ headers }: ReceivedRequest): number {
  return Number(headers['last-event-id'] ?? 0);
}

/** One event; it names the version of the software that made it, if there is one. */
export function renderEvent(event: number, version?: string): string {
  const author = version === undefined ? '' : ` by ${version}`;
  return `id: ${event}\ndata: part ${event}${author}\n\n`;
}
