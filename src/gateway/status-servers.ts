/**
 * HTTP servers of a gateway for readiness, directory and metrics.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { listenAccepting } from '../arrivals/index.js';
import type { Log } from '../events/index.js';
import type { ListenAddress } from './settings.js';

/** A response of a status server. */
export interface StatusResponse {
  status: number;
  contentType: string;
  body: string;
}

/** Handles one request. */
export type StatusHandler = (request: IncomingMessage) => StatusResponse | Promise<StatusResponse>;

/** Characters of a path that are logged. */
const MAX_LOGGED_CHARACTERS = 200;

const unreadable: StatusResponse = {
  status: 400,
  contentType: 'text/plain',
  body: 'the request could not be read; check its path\n',
};

/**
 * Starts a status server. A request that its handler cannot answer gets 400 and is logged.
 */
export async function startStatusServer(
  address: ListenAddress,
  log: Log,
  handle: StatusHandler,
): Promise<Server> {
  const server = createServer({ noDelay: true }, (request, response) => {
    request.resume();
    void answer(request).then(({ status, contentType, body }) => {
      response.sendDate = false;
      response.writeHead(status, { 'Content-Type': contentType });
      response.end(body);
    });
  });

  async function answer(request: IncomingMessage): Promise<StatusResponse> {
    try {
      return await handle(request);
    } catch (error) {
      const url = request.url?.slice(0, MAX_LOGGED_CHARACTERS);
      log.write('statusRequestFailed', { url, reason: String(error) });
      return unreadable;
    }
  }

  await listenAccepting(server, address, { log });
  return server;
}
