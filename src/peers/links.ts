/**
 * Connections between gateways. At most one link serves a peer; where both ends dialled, they agree
 * on which one stays. This module owns the sockets and decides nothing on who is there.
 */
import { WebSocket, WebSocketServer, type RawData } from 'ws';
import type { Clock } from '../task/index.js';
import { decodeMessage, encodeMessage, type GatewayState, type PeerMessage } from './messages.js';

/** Longest time for a link to be made, in ms. */
const DIAL_TIMEOUT_MS = 1_000;
/** A link on which nothing was heard for so long gives way to one that is made in its place, in ms: two
 * heartbeats and a slow way. */
const STALE_MS = 900;
/** A link on which requests were scheduled is idle after so long, in ms: longer than any request goes on
 * without a message on it. */
const IDLE_MS = 60_000;
/** A link on which none ever was is idle after so long, in ms: time for its ends to become partners. */
const UNUSED_MS = 5_000;
/** Bytes that may wait on a link before heartbeats on it are left out: a peer that does not read must not
 * fill this process's memory. */
const MAX_WAITING_BYTES = 1_000_000;
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Who hears of links. */
export interface LinkListener {
  /** This gateway's state, for introductions. */
  ownState(): GatewayState;
  /** A peer has introduced itself on a link that serves it now. */
  opened(state: GatewayState): void;
  received(node: string, message: PeerMessage): void;
  /** The last link to a peer has closed. */
  closed(node: string): void;
  /** A dial has failed; `isRefused` where a machine said that no process listens there. */
  failed(address: string, isRefused: boolean): void;
  /** The address is this gateway's own. */
  selfDialled(address: string): void;
}

/** The links of a gateway. */
export interface PeerLinks {
  listen: (host: string, port: number) => Promise<void>;
  port: () => number;
  /** Makes a link to an address unless one is being made. */
  dial(address: string, isReplacement?: boolean): void;
  /** Sends to a peer; false when there is no open link to it. */
  send(node: string, message: PeerMessage): boolean;
  isLinked(node: string): boolean;
  /** When a peer was last heard on its link, on the gateway's clock; `undefined` without a link. */
  heardAt(node: string): number | undefined;
  /** Peers on whose link nothing was scheduled lately; of those that this end dialled, since the other end
   * may need what it dialled. */
  idle(): string[];
  /** Peers with a link. */
  nodes(): string[];
  drop(node: string): void;
  close(): void;
}

/** Creates links for a listener. */
export type LinksFactory = (clock: Clock, listener: LinkListener) => PeerLinks;

interface Link {
  socket: WebSocket;
  state: GatewayState | undefined;
  openedAt: number;
  heardAt: number;
  /** When a message on a request last passed; `undefined` where none did. */
  usedAt: number | undefined;
  /** Where this end dialled; `undefined` where the other one did. */
  address: string | undefined;
  isReplacement: boolean;
}

const serverOptions = { maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false };

/**
 * Creates links without any.
 *
 * @param clock the gateway's clock
 * @param listener hears what happens on them
 */
export const createPeerLinks: LinksFactory = (clock, listener) => {
  const links = new Set<Link>();
  const byNode = new Map<string, Link>();
  const dialling = new Set<string>();
  let server: WebSocketServer | undefined;
  let closed = false;

  function adopt(socket: WebSocket, address?: string, isReplacement = false): Link {
    const now = clock.now();
    const link: Link = {
      socket,
      state: undefined,
      openedAt: now,
      heardAt: now,
      usedAt: undefined,
      address,
      isReplacement,
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
    if (!closed) listener.closed(node);
  }

  function findSpare(node: string): Link | undefined {
    for (const link of links) {
      if (link.state?.node === node) return link;
    }
    return undefined;
  }

  function transmit(link: Link, message: PeerMessage): void {
    if (isOnRequest(message)) link.usedAt = clock.now();
    link.socket.send(encodeMessage(message));
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
    link.heardAt = clock.now();
    if (message.kind === 'introduction') {
      meet(link, message.state, message.isReplacement);
      return;
    }
    if (link.state === undefined) return;
    if (isOnRequest(message)) link.usedAt = link.heardAt;
    listener.received(link.state.node, message);
  }

  function meet(link: Link, state: GatewayState, isReplacement: boolean): void {
    const { node, incarnation } = state;
    if (node === listener.ownState().node) {
      if (link.address !== undefined) listener.selfDialled(link.address);
      drop(link);
      return;
    }
    link.state = state;
    link.isReplacement ||= isReplacement;
    const before = byNode.get(node);
    if (before === undefined) byNode.set(node, link);
    else if (before.state?.incarnation !== incarnation || isStale(before, link)) {
      byNode.set(node, link);
      drop(before);
    } else settleTwin(before, link, node);
    listener.opened(state);
  }

  function isStale(before: Link, link: Link): boolean {
    return link.isReplacement && clock.now() - before.heardAt > STALE_MS;
  }

  /**
   * Both ends dialled at once. The link that the end with the smaller name dialled stays; that end
   * closes the other one, so that the two ends never close both.
   */
  function settleTwin(before: Link, link: Link, node: string): void {
    const isDialler = listener.ownState().node < node;
    const isOwn = (candidate: Link) => candidate.address !== undefined;
    const staying = isOwn(link) === isDialler ? link : before;
    byNode.set(node, staying);
    if (isDialler) drop(staying === link ? before : link);
  }

  function isIdle({ address, openedAt, usedAt }: Link): boolean {
    if (address === undefined) return false;
    if (usedAt === undefined) return clock.now() - openedAt > UNUSED_MS;
    return clock.now() - usedAt > IDLE_MS;
  }

  function isWritable(link: Link, message: PeerMessage): boolean {
    if (link.socket.readyState !== WebSocket.OPEN) return false;
    return message.kind !== 'beat' || link.socket.bufferedAmount < MAX_WAITING_BYTES;
  }

  return {
    listen(host, port) {
      return new Promise((resolve, reject) => {
        const created = new WebSocketServer({ host, port, ...serverOptions });
        created.once('error', reject);
        created.once('listening', () => {
          server = created;
          resolve();
        });
        created.on('connection', (socket) => {
          introduce(adopt(socket));
        });
      });
    },
    port() {
      const bound = server?.address();
      return bound === undefined || bound === null || typeof bound === 'string' ? 0 : bound.port;
    },
    dial(address, isReplacement = false) {
      if (closed || dialling.has(address)) return;
      dialling.add(address);
      const options = { handshakeTimeout: DIAL_TIMEOUT_MS, ...serverOptions };
      const socket = new WebSocket(`ws://${address}`, options);
      const state = { isOpen: false, isRefused: false };
      socket.on('error', (error: NodeJS.ErrnoException) => {
        state.isRefused = error.code === 'ECONNREFUSED';
      });
      const link = adopt(socket, address, isReplacement);
      socket.on('open', () => {
        state.isOpen = true;
        dialling.delete(address);
        introduce(link);
      });
      socket.on('close', () => {
        dialling.delete(address);
        if (!state.isOpen && !closed) listener.failed(address, state.isRefused);
      });
    },
    send(node, message) {
      const link = byNode.get(node);
      if (link === undefined || !isWritable(link, message)) return false;
      transmit(link, message);
      return true;
    },
    isLinked: (node) => byNode.has(node),
    heardAt: (node) => byNode.get(node)?.heardAt,
    idle: () => [...byNode].filter(([, link]) => isIdle(link)).map(([node]) => node),
    nodes: () => [...byNode.keys()],
    drop(node) {
      for (let link = byNode.get(node); link !== undefined; link = byNode.get(node)) drop(link);
    },
    close() {
      closed = true;
      for (const link of links) {
        link.socket.terminate();
      }
      server?.close();
    },
  };
};

function isOnRequest({ kind }: PeerMessage): boolean {
  return kind.startsWith('job.') || kind.startsWith('trial.');
}
