/**
 * WebSocket links between gateways. At most one link serves a peer; if both ends dialled, they agree on
 * which link to keep. Membership is decided elsewhere.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { Duplex } from 'node:stream';
import { WebSocket, WebSocketServer, type RawData } from 'ws';
import { listenAccepting } from '../arrivals/index.js';
import type { Log } from '../events/index.js';
import { boundedHandshake } from '../ports/bounded-head.js';
import { setPeerTimeout, type Clock } from '../task/index.js';
import { decodeMessage, encodeMessage, type GatewayState, type PeerMessage } from './messages.js';

/** Timeout of a WebSocket handshake, in ms. */
const DIAL_TIMEOUT_MS = 1_000;
/** Time without a message after which a replacement takes over from a link, in ms: two heartbeats and
 * network delay. */
const STALE_AFTER_MS = 900;
/** Idle timeout of a link that carried requests, in ms; longer than any request goes without a message. */
const IDLE_TIMEOUT_MS = 60_000;
/** Idle timeout of a link that carried none, in ms; leaves time for its ends to become partners. */
const UNUSED_TIMEOUT_MS = 5_000;
/** Bytes that wait for a peer to read them, above which its link is ended: a peer that does not read, as one whose
 * processor is starved, takes no more of this process's memory. */
const MAX_BUFFERED_BYTES = 1_000_000;
/** Messages that may wait so: a short one takes far more memory than its bytes. */
const MAX_WAITING_MESSAGES = 1_000;
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Receives the events of links. */
export interface LinkListener {
  /** This gateway's state, sent in introductions. */
  ownState(): GatewayState;
  /** A peer has introduced itself and is linked. */
  opened(state: GatewayState): void;
  received(node: string, message: PeerMessage): void;
  /** The last link to a peer has closed. */
  closed(node: string): void;
  /** A dial has failed; `isRefused` if the connection was refused (ECONNREFUSED). */
  failed(address: string, isRefused: boolean): void;
  /** The dialled address is this gateway's own. */
  selfDialled(address: string): void;
  /** A peer asks for an upgrade to another protocol; true if it is handled, and is no link. */
  upgradeRequested(request: IncomingMessage, connection: Duplex, head: Buffer): boolean;
}

/** The links of a gateway. */
export interface PeerLinks {
  listen: (host: string, port: number) => Promise<void>;
  port: () => number;
  /** Dials an address unless a dial to it is in progress. */
  dial(address: string, isReplacement?: boolean): void;
  /** Sends to a peer; false without an open link, or if the peer does not read what it was sent, which ends its link. */
  send(node: string, message: PeerMessage): boolean;
  /** Bytes that wait for peers to read them. */
  waitingBytes: () => number;
  isLinked(node: string): boolean;
  /** Time of the last message from a peer, on the gateway's clock; `undefined` without a link. */
  lastReceivedAt(node: string): number | undefined;
  /** Peers with an idle link that this end dialled. Links that the other end dialled are excluded, since that
   * end may need them. */
  idle(): string[];
  /** Peers with a link. */
  nodes(): string[];
  drop(node: string): void;
  close(): void;
}

/** Creates the links of a gateway. */
export type LinksFactory = (clock: Clock, log: Log, listener: LinkListener) => PeerLinks;

interface Link {
  socket: WebSocket;
  state: GatewayState | undefined;
  openedAt: number;
  lastReceivedAt: number;
  /** Time of the last message about a request; `undefined` if there was none. */
  usedAt: number | undefined;
  /** Address that this end dialled; `undefined` if the other end dialled. */
  address: string | undefined;
  isReplacement: boolean;
  /** Messages that wait for the peer to read them. */
  waiting: number;
}

/** HTTP status of a request that asks for no upgrade. */
const UPGRADE_REQUIRED = 426;

/** Kinds of messages about requests; a link that carries them is in use. */
const REQUEST_MESSAGES = /^(job|trial|origin)\./;

const serverOptions = { maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false };

/**
 * Creates an empty set of links.
 *
 * @param clock the gateway's clock
 * @param log hears of connections that cannot be used
 * @param listener receives their events
 */
export const createPeerLinks: LinksFactory = (clock, log, listener) => {
  const links = new Set<Link>();
  const byNode = new Map<string, Link>();
  const dialling = new Set<string>();
  let server: Server | undefined;
  let isClosed = false;

  function addLink(socket: WebSocket, address?: string, isReplacement = false): Link {
    const now = clock.now();
    const link: Link = {
      socket,
      state: undefined,
      openedAt: now,
      lastReceivedAt: now,
      usedAt: undefined,
      address,
      isReplacement,
      waiting: 0,
    };
    links.add(link);
    socket.on('message', (data: RawData) => {
      receive(link, data as Buffer);
    });
    socket.on('close', () => {
      drop(link);
    });
    socket.on('error', () => {
      drop(link);
    });
    return link;
  }

  function drop(link: Link): void {
    if (!links.delete(link)) return;
    link.socket.terminate();
    const node = link.state?.node;
    if (node === undefined || byNode.get(node) !== link) return;
    const spare = findSpare(node);
    if (spare !== undefined) {
      byNode.set(node, spare);
      return;
    }
    byNode.delete(node);
    if (!isClosed) listener.closed(node);
  }

  function findSpare(node: string): Link | undefined {
    for (const link of links) {
      if (link.state?.node === node) return link;
    }
    return undefined;
  }

  function transmit(link: Link, message: PeerMessage): void {
    if (isAboutRequest(message)) link.usedAt = clock.now();
    link.waiting += 1;
    link.socket.send(encodeMessage(message), () => {
      link.waiting -= 1;
    });
  }

  function introduce(link: Link): void {
    const { isReplacement } = link;
    transmit(link, { kind: 'introduction', state: listener.ownState(), isReplacement });
  }

  function receive(link: Link, bytes: Buffer): void {
    const message = decodeMessage(bytes);
    if (message === undefined) {
      drop(link);
      return;
    }
    link.lastReceivedAt = clock.now();
    if (message.kind === 'introduction') {
      handleIntroduction(link, message.state, message.isReplacement);
      return;
    }
    if (link.state === undefined) return;
    if (isAboutRequest(message)) link.usedAt = link.lastReceivedAt;
    listener.received(link.state.node, message);
  }

  function handleIntroduction(link: Link, state: GatewayState, isReplacement: boolean): void {
    const { node, incarnation } = state;
    if (node === listener.ownState().node) {
      if (link.address !== undefined) listener.selfDialled(link.address);
      drop(link);
      return;
    }
    link.state = state;
    link.isReplacement ||= isReplacement;
    const previous = byNode.get(node);
    if (previous === undefined) byNode.set(node, link);
    else if (previous.state?.incarnation !== incarnation || isStale(previous, link)) {
      byNode.set(node, link);
      drop(previous);
    } else resolveDuplicate(previous, link, node);
    listener.opened(state);
  }

  function isStale(previous: Link, link: Link): boolean {
    return link.isReplacement && clock.now() - previous.lastReceivedAt > STALE_AFTER_MS;
  }

  /**
   * Resolves two links to one peer after both ends dialled at once. The link dialled by the end with the
   * smaller name is kept. Only that end closes the other link, so that the two ends never close both.
   */
  function resolveDuplicate(previous: Link, link: Link, node: string): void {
    const isDialler = listener.ownState().node < node;
    const isOwn = (candidate: Link) => candidate.address !== undefined;
    const kept = isOwn(link) === isDialler ? link : previous;
    byNode.set(node, kept);
    if (isDialler) drop(kept === link ? previous : link);
  }

  function isIdle({ address, openedAt, usedAt }: Link): boolean {
    if (address === undefined) return false;
    if (usedAt === undefined) return clock.now() - openedAt > UNUSED_TIMEOUT_MS;
    return clock.now() - usedAt > IDLE_TIMEOUT_MS;
  }

  /** Whether the peer leaves too much unread. */
  function isBehind({ socket, waiting }: Link): boolean {
    return waiting >= MAX_WAITING_MESSAGES || socket.bufferedAmount >= MAX_BUFFERED_BYTES;
  }

  /** Ends a link that the peer does not read: messages that are left out of a link would leave the two ends with different
   * views, while the loss of one makes both renew what they know of each other. */
  function dropUnread(node: string, link: Link): void {
    const { waiting, socket } = link;
    log.write('peerNotReading', { peer: node, waiting, bytes: socket.bufferedAmount });
    drop(link);
  }

  return {
    async listen(host, port) {
      const upgrader = new WebSocketServer({ noServer: true, ...serverOptions });
      const created = createServer((_request, response) => {
        response.writeHead(UPGRADE_REQUIRED).end();
      });
      created.on('upgrade', (request, connection, head) => {
        if (listener.upgradeRequested(request, connection, head)) return;
        upgrader.handleUpgrade(request, connection, head, (socket) => {
          introduce(addLink(socket));
        });
      });
      await listenAccepting(created, { host, port }, { log });
      server = created;
    },
    port() {
      const bound = server?.address();
      return bound === undefined || bound === null || typeof bound === 'string' ? 0 : bound.port;
    },
    dial(address, isReplacement = false) {
      if (isClosed || dialling.has(address)) return;
      dialling.add(address);
      const options = { ...boundedHandshake, ...serverOptions };
      const socket = new WebSocket(`ws://${address}`, options);
      const state = { isOpen: false, isRefused: false };
      socket.on('error', (error: NodeJS.ErrnoException) => {
        state.isRefused = error.code === 'ECONNREFUSED';
      });
      const link = addLink(socket, address, isReplacement);
      // a timeout of the socket would begin anew with every byte
      const timer = setPeerTimeout(clock, DIAL_TIMEOUT_MS, () => {
        drop(link);
      });
      socket.on('open', () => {
        timer.cancel();
        state.isOpen = true;
        dialling.delete(address);
        introduce(link);
      });
      socket.on('close', () => {
        timer.cancel();
        dialling.delete(address);
        if (!state.isOpen && !isClosed) listener.failed(address, state.isRefused);
      });
    },
    send(node, message) {
      const link = byNode.get(node);
      if (link?.socket.readyState !== WebSocket.OPEN) return false;
      if (isBehind(link)) {
        dropUnread(node, link);
        return false;
      }
      transmit(link, message);
      return true;
    },
    waitingBytes() {
      let bytes = 0;
      for (const { socket } of links) bytes += socket.bufferedAmount;
      return bytes;
    },
    isLinked: (node) => byNode.has(node),
    lastReceivedAt: (node) => byNode.get(node)?.lastReceivedAt,
    idle: () => [...byNode].filter(([, link]) => isIdle(link)).map(([node]) => node),
    nodes: () => [...byNode.keys()],
    drop(node) {
      for (let link = byNode.get(node); link !== undefined; link = byNode.get(node)) drop(link);
    },
    close() {
      isClosed = true;
      for (const link of links) {
        link.socket.terminate();
      }
      server?.close();
      server?.closeAllConnections();
    },
  };
};

function isAboutRequest({ kind }: PeerMessage): boolean {
  return REQUEST_MESSAGES.test(kind);
}
