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

/**
 * Starts a status server.
 */
export async function startStatusServer(
  address: ListenAddress,
  log: Log,
  handle: StatusHandler,
): Promise<Server> {
  const server = createServer({ noDelay: true }, (request, response) => {
    request.resume();
    void Promise.resolve(handle(request)).then(({ status, contentType, body }) => {
      response.sendDate = false;
      response.writeHead(status, { 'Content-Type': contentType });
      response.end(body);
    });
  });
  await listenAccepting(server, address, { log });
  return server;
}
