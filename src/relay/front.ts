/**
 * The HTTP server for callers: reads complete requests, within the configured limits, and passes them
 * to the relay. While the gateway is stopping, it still serves requests and closes each connection
 * after its answer.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { listenAccepting, type Admission, type Arrival, type Arrivals } from '../arrivals/index.js';
import type { Log } from '../events/index.js';
import type { CallerLimits } from '../routing/index.js';
import { createCallerAnswer, type CallerAnswer } from './caller-answer.js';
import type { BackendProtocol } from './protocol.js';
import { createCallerConnections } from './caller-connections.js';
import { improperStatuses } from './final-answer.js';
import type { Intake, IntakeDefect, RefusedRequest } from './intake.js';
import type { CallerRequest, RequestEnd } from './request.js';

/** Limits until a first configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Maximum size of request headers that the HTTP parser accepts, in bytes. */
const MAX_HEADER_BYTES = 65_536;
/** Retry-After of a request whose body did not come in time, in ms. */
const LATE_RETRY_MS = 150;
/** Listen backlog; callers reconnect in bursts after a failure. */
const LISTEN_BACKLOG = 511;

/** What the front needs. */
export interface FrontParts {
  log: Log;
  protocol: BackendProtocol;
  arrivals: Arrivals;
  admission: Admission;
  intake: Intake;
  limits(): CallerLimits | undefined;
  serve(request: CallerRequest): Promise<void>;
}

/** The server for callers. */
export interface Front {
  listen(host: string, port: number): Promise<void>;
  /** Applies changed limits. */
  refreshLimits(): void;
  /** Makes every further answer close its connection. */
  startClosing(): void;
  /** Number of requests in progress. */
  inFlight(): number;
  /** Number of requests read so far. */
  received(): number;
  /** Ends all requests in progress with an answer of the gateway's own; an answer that has begun is aborted. */
  endRequests(): void;
  /** Stops listening and closes idle connections; active ones close with their answer. */
  stopListening(): void;
  /** Closes the server and all connections at once. */
  close(): void;
}

/**
 * Creates the server for callers.
 *
 * @param parts the relay and the limits
 */
export function createFront(parts: FrontParts): Front {
  const { log, protocol, arrivals, admission, intake } = parts;
  const sockets = new Set<Socket>();
  /** Of each request in progress. */
  const ends = new Set<AbortController>();
  const connections = createCallerConnections(log);
  let closing = false;
  let received = 0;
  const server: Server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, keepAlive: false, requestTimeout: 0 },
    (request, response) => {
      receive(request, response).catch((error: unknown) => {
        log.write('decisionFailed', { step: 'request', reason: String(error) });
        response.destroy();
      });
    },
  );
  refreshLimits();
  server.on('connection', (socket) => {
    arrivals.accepted(socket);
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    connections.unreadable(socket, error);
  });

  function limits(): CallerLimits {
    return parts.limits() ?? DEFAULT_LIMITS;
  }

  function refreshLimits(): void {
    // Node.js has no setter for it, and reads the property for each new connection
    Object.assign(server, {
      maxHeaderSize: Math.min(MAX_HEADER_BYTES, limits().maxHeaderBytes),
    });
    server.headersTimeout = limits().headerTimeoutMs;
    server.keepAliveTimeout = limits().idleTimeoutMs;
  }

  async function receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    received += 1;
    const arrival = arrivals.requestRead(request.socket);
    const { socket } = request;
    if (!connections.requestStarted(socket, response)) {
      request.resume();
      return;
    }
    const head = protocol.readCaller(request.rawHeaders);
    let isLate = false;
    const isClosing = () => closing || isLate || connections.closesBehind(socket, response);
    const answer = createCallerAnswer(response, protocol, head.requestId, isClosing);
    const decision = admission.decide(arrival, head.waitMs);
    if (!decision.isAdmitted) {
      refuseOverloaded(head.requestId, arrival, decision.retryAfterMs, answer);
      request.resume();
      return;
    }
    const taken = intake.take(request, response, head, limits().maxBodyBytes);
    if (!taken.isTaken) {
      refuseForMemory(head.requestId, taken, answer);
      request.resume();
      return;
    }
    const end = new AbortController();
    ends.add(end);
    response.on('close', () => {
      ends.delete(end);
      if (!response.writableFinished) end.abort('caller-left' satisfies RequestEnd);
    });
    answer.onWritten(taken.answerWritten);
    try {
      const body = await taken.readBody(arrival.at);
      isLate = body === 'late';
      if (isLate && !connections.isReadable(socket)) return;
      if (typeof body === 'string') {
        refuseBody(head.requestId, body, answer);
        return;
      }
      const { method = 'GET', url: path = '/' } = request;
      await parts.serve({
        method,
        path,
        head,
        body,
        arrivedAt: arrival.at,
        answer,
        ended: end.signal,
      });
    } finally {
      taken.releaseBody();
    }
  }

  function refuseForMemory(
    request: string | undefined,
    { retryAfterMs }: RefusedRequest,
    answer: CallerAnswer,
  ): void {
    const reason = 'memory';
    log.write('requestRefused', { request, reason, retryAfterMs: Math.round(retryAfterMs) });
    answer.end({ reason, retryAfterMs });
  }

  /** Ends a request whose body is not whole, so that no server was given it. */
  function refuseBody(
    request: string | undefined,
    defect: IntakeDefect,
    answer: CallerAnswer,
  ): void {
    if (defect === 'broken') return;
    log.write('requestRefused', { request, reason: `body-${defect}` });
    if (defect === 'too-large') {
      answer.reject(improperStatuses.tooLarge, 'the body is larger than the configuration allows');
      return;
    }
    answer.end({ reason: `body-${defect}`, retryAfterMs: LATE_RETRY_MS });
  }

  function refuseOverloaded(
    request: string | undefined,
    { waitedMs }: Arrival,
    retryAfterMs: number,
    answer: CallerAnswer,
  ): void {
    log.write('requestRefused', {
      request,
      reason: 'overloaded',
      retryAfterMs: Math.round(retryAfterMs),
      ms: Math.round(waitedMs),
    });
    answer.end({ reason: 'overloaded', retryAfterMs });
  }

  return {
    listen(host, port) {
      const { queueEmptied } = arrivals;
      const address = { host, port, backlog: LISTEN_BACKLOG };
      return listenAccepting(server, address, { log, queueEmptied });
    },
    refreshLimits,
    startClosing() {
      closing = true;
    },
    inFlight: () => ends.size,
    received: () => received,
    endRequests() {
      for (const end of ends) end.abort('stopping' satisfies RequestEnd);
    },
    stopListening() {
      server.close();
      server.closeIdleConnections();
    },
    close() {
      server.close();
      for (const socket of sockets) {
        socket.destroy();
      }
    },
  };
}
