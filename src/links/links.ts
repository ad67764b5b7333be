/**
 * The task that owns all links of a node: it listens for peers, dials those that membership names,
 * and hands what arrives to its owner.
 */
import { createServer, type Server } from 'node:https';
import { Err, type Result } from 'ts-results-es';
import { WebSocket, WebSocketServer } from 'ws';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import { boundedHandshake } from '../ports/bounded-head.js';
import type { Certificate } from '../settings/index.js';
import type { Clock, Timer } from '../task/index.js';
import { createLink, type Link, type LinkEnd, type LinkOwner } from './link.js';
import type { Answer, Notice, Query } from './messages.js';

const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const DIAL_TIMEOUT_MS = 2_000;
/** A link that membership does not want is closed after this long without a message. */
const IDLE_CLOSE_MS = 30_000;

/** What the links need. */
export interface LinksParts {
  node: string;
  key: string;
  /** `host:port` to listen on. */
  listen: string;
  /** Encrypts all links, where every node does. */
  certificate?: Certificate | undefined;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Where a node without a link listens, as membership knows it. */
  addressOf(peer: string): string | undefined;
  /** Whether a link is wanted though nothing passes on it. */
  isKept(peer: string): boolean;
  opened(peer: string): void;
  noticeReceived(peer: string, notice: Notice): void;
  queryReceived(peer: string, query: Query): Promise<Answer>;
}

/** All links of a node. */
export interface Links {
  /** Starts to listen; fails when the address is taken. */
  listen(): Promise<void>;
  /** The address listened on, with the port that was given for port 0. */
  address(): string;
  /** Dials an address unless a dial or link to it is already there. */
  dial(address: string): void;
  /** Names of the peers with a link up. */
  peers(): string[];
  /** Sends to a node; one without a link is dialled for it. */
  notify(peer: string, notice: Notice): void;
  /** Sends on the link that is up, if there is one. */
  send(peer: string, notice: Notice): void;
  /** Asks a node; one without a link is dialled for it. */
  query(peer: string, query: Query, timeoutMs: number): Promise<Result<Answer, Failure>>;
  /** Ends the link to a peer, so that it is dialled afresh. */
  drop(peer: string): void;
  close(): Promise<void>;
}

/**
 * Creates the links of a node.
 *
 * @param parts the node's name and key and what listens to the links
 */
export function createLinks(parts: LinksParts): Links {
  const { node, key, clock, log, metrics, certificate } = parts;
  const byPeer = new Map<string, Link>();
  const dialled = new Map<string, Link>();
  const all = new Set<Link>();
  const waiting = new Map<string, Set<(link: Link | undefined) => void>>();
  let idleTimer: Timer | undefined;
  let server: WebSocketServer | undefined;
  let tlsServer: Server | undefined;
  let closed = false;

  const owner: LinkOwner = {
    opened(link) {
      const peer = link.peer();
      const known = byPeer.get(peer);
      byPeer.set(peer, link);
      settleWaiting(peer, link);
      if (known?.isOpen() === true) return;
      log.write('peerLinked', { peer });
      metrics.peers.set(byPeer.size);
      parts.opened(peer);
    },
    ended(link, reason) {
      all.delete(link);
      forgetDialled(link);
      forgetPeer(link, reason);
    },
    noticeReceived(link, notice) {
      parts.noticeReceived(link.peer(), notice);
    },
    queryReceived(link, query) {
      return parts.queryReceived(link.peer(), query);
    },
    transferred(direction, purpose, bytes) {
      metrics.peerBytes.inc({ direction, purpose }, bytes);
    },
  };

  function settleWaiting(peer: string, link: Link | undefined): void {
    const resolvers = waiting.get(peer) ?? new Set();
    waiting.delete(peer);
    for (const resolve of resolvers) {
      resolve(link);
    }
  }

  /** The link to a node, dialled when there is none; `undefined` when it cannot be had in time. */
  function reach(peer: string): Promise<Link | undefined> {
    const link = byPeer.get(peer);
    if (link !== undefined) return Promise.resolve(link);
    const address = parts.addressOf(peer);
    if (closed || address === undefined) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const resolvers = waiting.get(peer) ?? new Set();
      resolvers.add(resolve);
      if (resolvers.size > 1) return;
      waiting.set(peer, resolvers);
      startDial(address);
      clock.after(DIAL_TIMEOUT_MS, () => {
        if (waiting.get(peer) === resolvers) settleWaiting(peer, undefined);
      });
    });
  }

  function closeIdle(): void {
    const before = clock.now() - IDLE_CLOSE_MS;
    for (const [peer, link] of byPeer) {
      if (parts.isKept(peer) || link.isBusy() || link.lastUsedAt() > before) continue;
      link.close();
    }
    idleTimer = clock.after(IDLE_CLOSE_MS / 2, closeIdle);
  }

  function startDial(address: string): void {
    if (closed || dialled.has(address)) return;
    const scheme = certificate === undefined ? 'ws' : 'wss';
    const socket = new WebSocket(`${scheme}://${address}`, {
      ...boundedHandshake,
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      ...(certificate?.authority === undefined ? {} : { ca: certificate.authority }),
    });
    dialled.set(address, adopt(socket, 'client'));
  }

  function forgetDialled(link: Link): void {
    for (const [address, other] of dialled) {
      if (other !== link) continue;
      dialled.delete(address);
      disappoint(address);
    }
  }

  /** The dial failed; whoever waits for it need not wait for the time limit. */
  function disappoint(address: string): void {
    for (const peer of [...waiting.keys()]) {
      if (parts.addressOf(peer) === address) settleWaiting(peer, undefined);
    }
  }

  function forgetPeer(link: Link, reason: LinkEnd): void {
    if (reason === 'unauthenticated') log.write('peerRejected', { peer: link.peer() });
    if (reason === 'malformed') log.write('frameMalformed', { peer: link.peer() });
    const peer = link.peer();
    if (byPeer.get(peer) !== link) return;
    byPeer.delete(peer);
    const spare = findSpare(peer);
    if (spare !== undefined) {
      byPeer.set(peer, spare);
      return;
    }
    log.write('peerUnlinked', { peer });
    metrics.peers.set(byPeer.size);
  }

  function findSpare(peer: string): Link | undefined {
    for (const link of all) {
      if (link.peer() === peer && link.isOpen()) return link;
    }
    return undefined;
  }

  function adopt(socket: WebSocket, end: 'client' | 'server'): Link {
    const link = createLink({ socket, end, node, key, clock, owner });
    all.add(link);
    return link;
  }

  /** The options by which the server of links listens, with or without encryption. */
  function bindTo(host: string, port: number): { host: string; port: number } | { server: Server } {
    if (certificate === undefined) return { host, port };
    tlsServer = createServer({ cert: certificate.certificate, key: certificate.key });
    tlsServer.listen(port, host);
    return { server: tlsServer };
  }

  return {
    listen() {
      const [host = '', port = ''] = parts.listen.split(':');
      return new Promise((resolve, reject) => {
        const created = new WebSocketServer({
          ...bindTo(host, Number(port)),
          maxPayload: MAX_FRAME_BYTES,
        });
        created.once('listening', () => {
          server = created;
          idleTimer = clock.after(IDLE_CLOSE_MS / 2, closeIdle);
          resolve();
        });
        created.once('error', reject);
        created.on('connection', (socket) => {
          adopt(socket, 'server');
        });
      });
    },
    address() {
      const bound = server?.address();
      if (bound === undefined || bound === null || typeof bound === 'string') return parts.listen;
      return `${bound.address}:${bound.port}`;
    },
    dial: startDial,
    peers: () => [...byPeer.keys()],
    notify(peer, notice) {
      void reach(peer).then((link) => {
        link?.notify(notice);
      });
    },
    send(peer, notice) {
      byPeer.get(peer)?.notify(notice);
    },
    async query(peer, query, timeoutMs) {
      const link = await reach(peer);
      if (link !== undefined) return link.query(query, timeoutMs);
      return Err(
        createRefusal({
          code: 'peer-unreachable',
          message: 'there is no link to the node and none could be made in time',
          step: 'link.call',
          peer,
        }),
      );
    },
    drop(peer) {
      for (const link of all) {
        if (link.peer() === peer) link.close();
      }
    },
    close() {
      closed = true;
      idleTimer?.cancel();
      for (const peer of [...waiting.keys()]) {
        settleWaiting(peer, undefined);
      }
      for (const link of all) {
        link.close();
      }
      return new Promise((resolve) => {
        if (server === undefined) {
          resolve();
          return;
        }
        server.close(() => {
          if (tlsServer === undefined) resolve();
          else {
            tlsServer.close(() => {
              resolve();
            });
          }
        });
        tlsServer?.closeAllConnections();
      });
    },
  };
}
