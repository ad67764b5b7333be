/**
 * The links between gateways. Each gateway has a link to every other one that it knows; it learns
 * of them from the store, from settings and from each other. A peer that is silent for a while is
 * taken for lost, and its link is made anew, since a connection into a partition may hang for long.
 *
 * A mesh suits some dozen gateways; docs/CAPACITY.md says what takes its place at several hundred.
 */
import { WebSocket, WebSocketServer, type RawData } from 'ws';
import type { Log } from '../events/index.js';
import type { Clock, Timer } from '../task/index.js';
import {
  decodeMessage,
  encodeMessage,
  type Beat,
  type Introduction,
  type PeerMessage,
} from './messages.js';

/** Time between two heartbeats, in ms: routes must reach a gateway that lost the store well within
 * the two seconds that a change may take. */
const BEAT_MS = 400;
/** With more peers than this heartbeats come less often, so that their bytes grow no faster than
 * the fleet. */
const PEERS_AT_FULL_PACE = 32;
/** A peer is lost after so many heartbeats without a word: three and a slow way. */
const SILENT_BEATS = 3.75;
/** Longest time for a link to be made, in ms. */
const DIAL_TIMEOUT_MS = 1_000;
/** An address at which nobody answered for so long is forgotten, in ms. */
const FORGET_MS = 60_000;
/** Bytes that may wait to be sent on a link before heartbeats on it are left out. */
const MAX_WAITING_BYTES = 1_000_000;
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** A peer as its introduction and heartbeats tell it. */
export interface Peer {
  introduction: Introduction;
  beat: Beat | undefined;
  /** When it was last heard, on this gateway's clock. */
  heardAt: number;
}

/** What the mesh needs. */
export interface MeshParts {
  clock: Clock;
  log: Log;
  self: Omit<Introduction, 'kind' | 'known'>;
  /** This gateway's heartbeat as of now. */
  beat(): Omit<Beat, 'kind'>;
  received(peer: Peer, message: PeerMessage): void;
  /** A peer was lost or replaced by a new incarnation. */
  lost(node: string): void;
}

/** The links of a gateway. */
export interface Mesh {
  listen(host: string, port: number): Promise<void>;
  port(): number;
  /** Makes a link to an address unless there is one. */
  learn: (address: string) => void;
  /** Peers that were heard lately, ordered by name. */
  peers(): readonly Peer[];
  /** Time between two heartbeats at present, in milliseconds. */
  beatMs(): number;
  /** Sends to a peer; false when there is no link to it. */
  send(node: string, message: PeerMessage): boolean;
  /** Sends the heartbeat at once, as on a change of readiness. */
  beatNow(): void;
  close(): void;
}

interface Link {
  socket: WebSocket;
  peer: Peer | undefined;
  heardAt: number;
  address: string | undefined;
}

/**
 * Creates a mesh without links.
 *
 * @param parts who this gateway is and who listens
 */
export function createMesh(parts: MeshParts): Mesh {
  const { clock, log, self } = parts;
  const links = new Set<Link>();
  const byNode = new Map<string, Link>();
  /** The peers in order, until a link changes: they are asked for several times in each request. */
  let ordered: readonly Peer[] | undefined;
  /** Addresses to keep a link to, with the time of the last word from there. */
  const addresses = new Map<string, number>();
  let server: WebSocketServer | undefined;
  let timer: Timer | undefined;
  let closed = false;

  function adopt(socket: WebSocket, address: string | undefined): void {
    const link: Link = { socket, peer: undefined, heardAt: clock.now(), address };
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
  }

  /** Makes a link the one that serves a peer; `undefined` when there is none any more. */
  function assign(node: string, link: Link | undefined): void {
    ordered = undefined;
    if (link === undefined) byNode.delete(node);
    else byNode.set(node, link);
  }

  function drop(link: Link): void {
    if (!links.delete(link)) return;
    link.socket.terminate();
    const node = link.peer?.introduction.node;
    if (node === undefined || byNode.get(node) !== link) return;
    const spare = findLink(node);
    assign(node, spare);
    if (spare !== undefined) return;
    log.write('gatewayLost', { peer: node, silentMs: Math.round(clock.now() - link.heardAt) });
    parts.lost(node);
  }

  function findLink(node: string): Link | undefined {
    for (const link of links) {
      if (link.peer?.introduction.node === node) return link;
    }
    return undefined;
  }

  function transmit(link: Link, message: PeerMessage): void {
    if (link.socket.readyState === WebSocket.OPEN) link.socket.send(encodeMessage(message));
  }

  function introduce(link: Link): void {
    transmit(link, { kind: 'introduction', ...self, known: [...addresses.keys()] });
    transmit(link, { kind: 'beat', ...parts.beat() });
  }

  function receive(link: Link, bytes: Buffer): void {
    const message = decodeMessage(bytes);
    if (message === undefined) {
      drop(link);
      return;
    }
    link.heardAt = clock.now();
    if (link.peer !== undefined) link.peer.heardAt = link.heardAt;
    if (message.kind === 'introduction') {
      meet(link, message);
      return;
    }
    const { peer } = link;
    if (peer === undefined) return;
    addresses.set(peer.introduction.address, link.heardAt);
    if (message.kind === 'beat') peer.beat = message;
    parts.received(peer, message);
  }

  function meet(link: Link, introduction: Introduction): void {
    const { node, incarnation } = introduction;
    if (node === self.node) {
      if (link.address !== undefined) addresses.delete(link.address);
      drop(link);
      return;
    }
    link.peer = { introduction, beat: undefined, heardAt: link.heardAt };
    addresses.set(introduction.address, clock.now());
    for (const address of introduction.known) {
      learn(address);
    }
    const before = byNode.get(node);
    if (before?.peer === undefined) {
      assign(node, link);
      log.write('gatewayFound', { peer: node, incarnation, address: introduction.address });
      return;
    }
    if (before.peer.introduction.incarnation !== incarnation) {
      assign(node, link);
      drop(before);
      parts.lost(node);
      return;
    }
    link.peer.beat = before.peer.beat;
    settleTwin(node, before, link);
  }

  /**
   * Both ends dialled at once. The link that the end with the smaller name dialled stays; that end
   * closes the other one, so that the two ends never close both.
   */
  function settleTwin(node: string, before: Link, link: Link): void {
    const isDialler = self.node < node;
    const isOwn = (candidate: Link) => candidate.address !== undefined;
    const staying = isOwn(link) === isDialler ? link : before;
    const leaving = staying === link ? before : link;
    assign(node, staying);
    if (isDialler) drop(leaving);
  }

  function learn(address: string): void {
    if (closed || address === self.address || addresses.has(address)) return;
    addresses.set(address, clock.now());
    dial(address);
  }

  function dial(address: string): void {
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    adopt(socket, address);
    socket.on('open', () => {
      for (const link of links) {
        if (link.socket === socket) introduce(link);
      }
    });
  }

  function isLinked(address: string): boolean {
    for (const link of links) {
      if (link.address === address || link.peer?.introduction.address === address) return true;
    }
    return false;
  }

  function beatMs(): number {
    return BEAT_MS * Math.max(1, byNode.size / PEERS_AT_FULL_PACE);
  }

  function beatAll(): void {
    const beat = { kind: 'beat' as const, ...parts.beat() };
    const bytes = encodeMessage(beat);
    for (const { socket } of byNode.values()) {
      const canSend = socket.readyState === WebSocket.OPEN;
      if (canSend && socket.bufferedAmount < MAX_WAITING_BYTES) socket.send(bytes);
    }
  }

  function tend(): void {
    const now = clock.now();
    for (const link of [...links]) {
      if (now - link.heardAt > SILENT_BEATS * beatMs()) drop(link);
    }
    for (const [address, heardAt] of addresses) {
      if (now - heardAt > FORGET_MS) addresses.delete(address);
      else if (!isLinked(address)) dial(address);
    }
    beatAll();
    timer = clock.after(beatMs(), tend);
  }

  function listPeers(): Peer[] {
    const found: Peer[] = [];
    for (const { peer } of byNode.values()) {
      if (peer !== undefined) found.push(peer);
    }
    return found.sort((left, right) => (left.introduction.node < right.introduction.node ? -1 : 1));
  }

  return {
    listen(host, port) {
      return new Promise((resolve, reject) => {
        const created = new WebSocketServer({
          host,
          port,
          maxPayload: MAX_MESSAGE_BYTES,
          perMessageDeflate: false,
        });
        created.once('error', reject);
        created.once('listening', () => {
          server = created;
          tend();
          resolve();
        });
        created.on('connection', (socket) => {
          adopt(socket, undefined);
          for (const link of links) {
            if (link.socket === socket) introduce(link);
          }
        });
      });
    },
    port() {
      const bound = server?.address();
      return bound === undefined || bound === null || typeof bound === 'string' ? 0 : bound.port;
    },
    learn,
    peers() {
      ordered ??= listPeers();
      return ordered;
    },
    send(node, message) {
      const link = byNode.get(node);
      if (link?.socket.readyState !== WebSocket.OPEN) return false;
      transmit(link, message);
      return true;
    },
    beatMs,
    beatNow: beatAll,
    close() {
      closed = true;
      timer?.cancel();
      for (const link of links) {
        link.socket.terminate();
      }
      server?.close();
    },
  };
}
