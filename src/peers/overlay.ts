/**
 * Overlay network of the gateways. Each gateway exchanges heartbeats with a bounded number of partners and
 * suspects silent ones; the membership (`membership.ts`) spreads by gossip over the same links. Links to
 * other peers, such as schedulers, are opened on demand. A fleet no larger than the number of partners is a
 * full mesh.
 */
import type { Log } from '../events/index.js';
import { choosePeers, createPartners } from '../gossip/index.js';
import type { Clock, RandomSource, Timer } from '../task/index.js';
import { createGatewayMembership, type OwnIdentity, type OwnStatus } from './membership.js';
import { createPeerLinks, type LinkListener, type LinksFactory } from './links.js';
import type { GatewayMessage, GatewayState, PeerMessage, StoreVersions } from './messages.js';
import { createDiscovery } from './discovery.js';
import { createFleetSize } from './fleet-size.js';

/** Heartbeat interval, in ms. A missed update must arrive well within the two seconds allowed for a change. */
const HEARTBEAT_MS = 400;
/** Partners of a gateway in a large fleet, including those that chose it. The overlay stays connected when
 * half of the gateways are lost at once. */
const PARTNERS = 12;
/** Silence after which a partner is dialled again, in ms, since a connection can die without an error: two
 * heartbeats and network delay. */
const REDIAL_AFTER_MS = 900;
/** Silence after which a partner is suspected, in ms: three heartbeats and network delay. */
const SUSPECT_AFTER_MS = 1_500;
/** Time for which digests must differ before views are compared, in ms; updates in flight resolve most
 * differences. */
const COMPARE_AFTER_MS = 1_000;
/** Silence of all peers after which this gateway is isolated, in ms: two heartbeats and network delay. Must be
 * shorter than the suspicion timeout by more than one heartbeat, or an isolated gateway would suspect the
 * partners that sent first before the partition. */
const ISOLATED_AFTER_MS = 1_050;
/** Lateness of the timer that shows that this process was stalled, in ms. Messages that arrived meanwhile are
 * read only after the timer has fired. */
const STALL_MS = 600;
/** Most names of found and of lost gateways in one log line. */
const MAX_LOGGED_NAMES = 16;
/** Most messages queued for a link that is being opened; further ones are not sent. */
const MAX_QUEUED = 1_000;

/** Digests of gossiped data; equal on gateways with equal data. */
export interface StateDigests {
  /** Of requests during which servers crashed. */
  crashes: number;
  /** Of servers' notices to all gateways. */
  notices: number;
}

/** Dependencies of the overlay. */
export interface OverlayParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  self: OwnIdentity;
  status(): OwnStatus;
  versions(): StoreVersions;
  digests(): StateDigests;
  /** Peers to stay linked to although they are not partners. */
  requiredPeers(): Iterable<string>;
  received(node: string, message: GatewayMessage): void;
  /** Called with the store versions in a partner's heartbeat. */
  versionsReceived(node: string, versions: StoreVersions): void;
  /** Called with the digests in a partner's heartbeat. */
  digestsReceived(node: string, digests: StateDigests): void;
  /** Called when the link to a peer closed, the peer was lost, or another incarnation replaced it. */
  lost(node: string): void;
  /** Handles a peer's request to upgrade a connection to another protocol; false if there is no such. */
  upgradeRequested?: LinkListener['upgradeRequested'];
  /** Creates the links; WebSocket links by default. */
  createLinks?: LinksFactory;
}

/** The known peers and the transport to them. */
export interface Overlay {
  listen(host: string, port: number): Promise<void>;
  /** Starts discovery and heartbeats. */
  start(): void;
  port(): number;
  /** Adds an address at which a gateway may be; `isSeed` if it comes from the settings. */
  addAddress: (address: string, isSeed?: boolean) => void;
  /** Peers believed alive, ordered by name; the same array until it changes. Empty while this gateway is
   * isolated. */
  peers(): readonly GatewayState[];
  /** Number of gateways believed alive, this one included. Unlike the peers, they count on while this gateway is
   * isolated. */
  knownGateways: () => number;
  /** Number of gateways that may run, for what all must not exceed together: lost ones and addresses without an
   * answer yet count as well; `undefined` while it grows. */
  fleetSize: () => number | undefined;
  /** Whether there are partners and this gateway is not isolated. */
  isConnected: () => boolean;
  /** Sends to a peer, opening a link if needed; false if the peer is unknown, lost or its queue is full. */
  send(node: string, message: PeerMessage): boolean;
  /** Sends to all partners. */
  broadcast(message: PeerMessage): void;
  /** Bytes that wait for peers to read them. */
  waitingBytes: () => number;
  /** Sends this gateway's status now if it has changed. */
  publish(): void;
  close(): void;
}

/**
 * Creates an overlay without links.
 *
 * @param parts this gateway's identity, its data and the callbacks
 */
export function createOverlay(parts: OverlayParts): Overlay {
  const { clock, log, self } = parts;
  const partners = createPartners();
  const discovery = createDiscovery(clock, parts.random);
  /** Messages queued while a link to their peer is being opened. */
  const queued = new Map<string, PeerMessage[]>();
  /** Since when peers owe an answer to a submitted job. */
  const awaiting = new Map<string, number>();
  /** Since when partners' digests differ from the own one. */
  const differing = new Map<string, number>();
  const noPeers: readonly GatewayState[] = [];
  let chosenFrom: readonly GatewayState[] | undefined;
  let chosen = new Set<string>();
  /** Time of the last message from any peer. */
  let lastReceivedAt = Number.NEGATIVE_INFINITY;
  let wasIsolated = false;
  let lastComparedAt = Number.NEGATIVE_INFINITY;
  let lastTickAt = clock.now();
  let heartbeatTimer: Timer | undefined;
  let isClosed = false;

  const membership = createGatewayMembership({
    clock,
    self,
    status: () => parts.status(),
    partners: () => partners.names(),
    isResponsive: hasSentRecently,
    send(node, message) {
      links.send(node, message);
    },
    lost,
    merged(state) {
      discovery.removeAddress(state.address);
    },
  });
  const { members } = membership;
  const fleetSize = createFleetSize(
    clock,
    () => countAlive() + members.suspected().length + discovery.count(),
  );
  const links = (parts.createLinks ?? createPeerLinks)(clock, parts.log, {
    ownState: membership.ownState,
    opened,
    received: receive,
    closed,
    failed,
    selfDialled(address) {
      discovery.removeAddress(address);
    },
    upgradeRequested: (request, connection, head) =>
      parts.upgradeRequested?.(request, connection, head) === true,
  });

  function countAlive(): number {
    return 1 + members.alive().length;
  }

  function opened(state: GatewayState): void {
    const { node } = state;
    discovery.removeAddress(state.address);
    const hadNoPeers = members.alive().length === 0;
    membership.introductionReceived(state);
    for (const message of queued.get(node) ?? []) {
      links.send(node, message);
    }
    queued.delete(node);
    if (hadNoPeers) compare(node);
    if (partners.has(node)) sendHeartbeat(node);
  }

  /** Handles a lost peer, or a replaced incarnation of a live one. */
  function lost(node: string): void {
    if (!members.isAlive(node)) {
      partners.remove(node);
      queued.delete(node);
    }
    // dropping the link reports the loss through `closed`
    if (!members.isAlive(node) && links.isLinked(node)) links.drop(node);
    else parts.lost(node);
  }

  function closed(node: string): void {
    awaiting.delete(node);
    differing.delete(node);
    const state = members.find(node)?.state;
    if (partners.has(node) && state !== undefined) links.dial(state.address);
    parts.lost(node);
  }

  /** A refused dial shows that the peer's process ended; a timeout may be network delay. */
  function failed(address: string, isRefused: boolean): void {
    for (const state of members.alive()) {
      const { node } = state;
      if (state.address !== address || links.isLinked(node)) continue;
      if (queued.delete(node)) parts.lost(node);
      if (isRefused) membership.suspect(state);
    }
  }

  /** Whether this gateway itself seems to be cut off; it then suspects no peer. */
  function isIsolated(): boolean {
    return partners.names().length > 0 && clock.now() - lastReceivedAt > ISOLATED_AFTER_MS;
  }

  function receive(node: string, message: PeerMessage): void {
    // silence while this gateway was isolated is no reason to suspect partners
    if (isIsolated()) partners.resetSilence(clock.now());
    lastReceivedAt = clock.now();
    awaiting.delete(node);
    if (message.kind === 'beat') handleHeartbeat(node, message);
    else if (message.kind === 'news') membership.applyUpdates(message, node);
    else if (message.kind === 'view') membership.applyView(message);
    else if (message.kind === 'want' && message.what === 'view') membership.sendView(node);
    else if (message.kind !== 'introduction') parts.received(node, message);
  }

  function handleHeartbeat(node: string, heartbeat: PeerMessage & { kind: 'beat' }): void {
    const now = clock.now();
    partners.recordHeartbeatReceived(node, heartbeat.isChosen, now);
    membership.notifySuspected(node);
    if (heartbeat.digest === membership.digest()) differing.delete(node);
    else recordDifference(node, now);
    parts.versionsReceived(node, heartbeat);
    parts.digestsReceived(node, {
      crashes: heartbeat.crashDigest,
      notices: heartbeat.noticeDigest,
    });
  }

  function recordDifference(node: string, now: number): void {
    const since = differing.get(node) ?? now;
    differing.set(node, since);
    if (now - since >= COMPARE_AFTER_MS && now - lastComparedAt >= COMPARE_AFTER_MS) compare(node);
  }

  function compare(node: string): void {
    lastComparedAt = clock.now();
    differing.delete(node);
    links.send(node, { kind: 'want', what: 'view', after: 0 });
  }

  function hasSentRecently(node: string): boolean {
    const receivedAt = partners.has(node) ? links.lastReceivedAt(node) : undefined;
    return receivedAt !== undefined && clock.now() - receivedAt < REDIAL_AFTER_MS;
  }

  function tick(): void {
    if (isClosed) return;
    const now = clock.now();
    // messages that arrived during a stall are read only after this timer
    if (now - lastTickAt > HEARTBEAT_MS + STALL_MS) resetSilence(now);
    lastTickAt = now;
    dropUnansweredLinks(now);
    checkPartners(now);
    membership.expire(now);
    linkPartners(now);
    discoverPeers(now);
    closeIdle();
    fleetSize.observe();
    membership.publish();
    membership.flush();
    for (const partner of partners.names()) {
      sendHeartbeat(partner);
      partners.recordHeartbeatSent(partner);
    }
    logChanges();
    heartbeatTimer = clock.after(HEARTBEAT_MS, tick);
  }

  /** Drops links to peers that did not answer in time. */
  function dropUnansweredLinks(now: number): void {
    for (const [node, since] of awaiting) {
      if (now - since <= SUSPECT_AFTER_MS) continue;
      awaiting.delete(node);
      links.drop(node);
    }
  }

  function checkPartners(now: number): void {
    for (const node of partners.silent(now, REDIAL_AFTER_MS)) {
      const address = members.find(node)?.state.address;
      if (address !== undefined && links.isLinked(node)) links.dial(address, true);
    }
    for (const node of partners.silent(now, SUSPECT_AFTER_MS)) {
      const state = members.find(node)?.state;
      if (isIsolated() || state === undefined) links.drop(node);
      else membership.suspect(state);
      if (state === undefined) partners.remove(node);
    }
  }

  function resetSilence(now: number): void {
    partners.resetSilence(now);
    lastReceivedAt = now;
  }

  function linkPartners(now: number): void {
    const alive = members.alive();
    if (alive !== chosenFrom) {
      chosenFrom = alive;
      chosen = new Set(choosePeers(self.node, alive, PARTNERS).map(({ node }) => node));
    }
    partners.choose(chosen, now);
    for (const node of [...partners.names(), ...parts.requiredPeers()]) {
      if (node !== self.node) link(node);
    }
  }

  function link(node: string): boolean {
    if (links.isLinked(node)) return true;
    if (!members.isAlive(node)) return false;
    const address = members.find(node)?.state.address;
    if (address !== undefined) links.dial(address);
    return address !== undefined;
  }

  function discoverPeers(now: number): void {
    // an isolated gateway cannot tell which peers are lost
    const candidates = isIsolated()
      ? [...members.suspected(), ...members.alive()]
      : members.suspected();
    const addresses = candidates.map(({ address }) => address);
    const missing = PARTNERS / 2 - links.nodes().length;
    const alive = members.alive().length;
    for (const address of discovery.chooseAddresses({ now, missing, alive, lost: addresses })) {
      links.dial(address);
    }
  }

  function closeIdle(): void {
    const idle = links.idle();
    if (idle.length === 0) return;
    const kept = new Set([...partners.names(), ...parts.requiredPeers()]);
    for (const node of idle) {
      if (!kept.has(node)) links.drop(node);
    }
  }

  function sendHeartbeat(node: string): void {
    const isChosen = partners.isChosen(node);
    const { crashes, notices } = parts.digests();
    links.send(node, {
      kind: 'beat',
      ...parts.versions(),
      isChosen,
      digest: membership.digest(),
      crashDigest: crashes,
      noticeDigest: notices,
    });
  }

  function logChanges(): void {
    const { found, lost } = membership.drainChanges();
    const isNowIsolated = isIsolated();
    if (found.length === 0 && lost.length === 0 && isNowIsolated === wasIsolated) return;
    wasIsolated = isNowIsolated;
    log.write('gatewaysChanged', {
      found: found.slice(0, MAX_LOGGED_NAMES),
      lost: lost.slice(0, MAX_LOGGED_NAMES),
      foundCount: found.length,
      lostCount: lost.length,
      alive: members.alive().length,
      links: links.nodes().length,
      isIsolated: isNowIsolated,
    });
  }

  function send(node: string, message: PeerMessage): boolean {
    if (links.send(node, message)) {
      if (message.kind === 'job.submit' && !awaiting.has(node)) awaiting.set(node, clock.now());
      return true;
    }
    if (!link(node)) return false;
    const queue = queued.get(node) ?? [];
    queued.set(node, queue);
    if (queue.length >= MAX_QUEUED) return false;
    queue.push(message);
    return true;
  }

  return {
    listen: links.listen,
    start: tick,
    port: links.port,
    addAddress(address, isSeed = false) {
      if (isClosed || address === self.address) return;
      for (const state of members.alive()) {
        if (state.address === address) return;
      }
      discovery.addAddress(address, isSeed);
    },
    peers: () => (isIsolated() ? noPeers : members.alive()),
    knownGateways: countAlive,
    fleetSize: fleetSize.settled,
    isConnected: () => partners.names().length > 0 && !isIsolated(),
    send,
    broadcast(message) {
      for (const partner of partners.names()) {
        links.send(partner, message);
      }
    },
    waitingBytes: links.waitingBytes,
    publish() {
      membership.publish();
      membership.flush();
    },
    close() {
      isClosed = true;
      heartbeatTimer?.cancel();
      membership.close();
      links.close();
    },
  };
}
