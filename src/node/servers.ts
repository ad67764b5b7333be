/**
 * HTTP listeners of the two fronts, with the limits that keep slow or oversized requests from
 * holding a node.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';
import type { Certificate } from '../settings/index.js';
import { followConnections, type Connections } from './connections.js';
import { refuseUnreadable } from './unreadable-request.js';

/** Largest sum of a request's headers, in bytes. */
const MAX_HEADER_BYTES = 16_384;
const KEEP_ALIVE_MS = 30_000;
/** How often node looks for requests that took too long to arrive. */
const CHECK_EVERY_MS = 1_000;
/** Leaves what was just sent on a quiet connection the time to be read and refused. */
const SWEEP_EVERY_MS = 250;

/** A front that listens. */
export interface Listener {
  /** `host:port`, with the port that was given for port 0. */
  address: string;
  /**
   * Takes no new connection and resolves when the open ones have ended.
   *
   * @param graceMs how long those that carry an answer may go on; the rest is broken then
   */
  close(graceMs: number): Promise<void>;
}

/**
 * Starts to listen; rejects when the address is taken.
 *
 * @param app what answers
 * @param address `host:port`
 * @param readTimeoutMs how long a request may take to arrive
 * @param node name of this node, for refusals
 * @param certificate encrypts the front; plain HTTP when absent
 */
export function listen(
  app: Pick<Hono, 'fetch'>,
  address: string,
  readTimeoutMs: number,
  node: string,
  certificate?: Certificate,
): Promise<Listener> {
  const [host = '', port = ''] = address.split(':');
  const answer = getRequestListener(app.fetch);
  const limits = {
    requestTimeout: readTimeoutMs,
    headersTimeout: readTimeoutMs,
    connectionsCheckingInterval: CHECK_EVERY_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: KEEP_ALIVE_MS,
    noDelay: true,
  };
  const receive: RequestListener = (incoming, outgoing) => {
    if (connections.takesRequests(incoming.socket)) void answer(incoming, outgoing);
  };
  const server =
    certificate === undefined
      ? createServer(limits, receive)
      : createTlsServer(
          { ...limits, cert: certificate.certificate, key: certificate.key },
          receive,
        );
  const connections = followConnections(server, certificate !== undefined);
  server.on('clientError', (error, socket) => {
    // A refusal would be read as the answer to the request before it, which runs.
    if (!connections.closeAfterAnswers(socket)) refuseUnreadable(error, socket, node);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      resolve({
        address: describeAddress(server, address),
        close: (graceMs) => close(server, connections, graceMs),
      });
    });
  });
}

function describeAddress(server: Server, wanted: string): string {
  const bound = server.address();
  if (bound === null || typeof bound === 'string') return wanted;
  return `${bound.address}:${bound.port}`;
}

function close(server: Server, connections: Connections, graceMs: number): Promise<void> {
  return new Promise((resolve) => {
    // Connections become quiet one by one, as their last answer ends.
    const sweep = setInterval(() => {
      connections.closeQuiet();
    }, SWEEP_EVERY_MS);
    const limit = setTimeout(() => {
      server.closeAllConnections();
    }, graceMs);
    server.close(() => {
      clearInterval(sweep);
      clearTimeout(limit);
      resolve();
    });
  });
}
