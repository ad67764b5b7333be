/**
 * The way to the other gateways. Each exchanges heartbeats with a bounded number of partners, whatever the
 * size of the fleet, and notices when one of them is silent; what it believes of all (`beliefs.ts`) goes
 * from partner to partner. Links to others, as to a scheduler, are made when they are needed. A fleet no
 * larger than the number of partners is a full mesh.
 */
import type { Log } from '../events/index.js';
import { choosePeers, createPartners } from '../gossip/index.js';
import type { Clock, RandomSource, Timer } from '../task/index.js';
import { createGatewayMembership, type OwnIdentity, type OwnStatus } from './membership.js';
import { createPeerLinks, type LinksFactory } from './links.js';
import type { GatewayMessage, GatewayState, PeerMessage, StoreVersions } from './messages.js';
import { createDiscovery } from './discovery.js';

/** Time between two heartbeats, in ms: what a gateway has missed must reach it well within the two seconds
 * that a change may take. */
const BEAT_MS = 400;
/** Partners of a gateway in a large fleet, those that chose it included: with half of all gateways lost at
 * once, those that are left stay connected. */
const PARTNERS = 12;
/** A partner that was silent for so long is dialled once more, in ms, since a connection may go silent
 * without an error: two heartbeats and a slow way. */
const REDIAL_MS = 900;
/** A partner is suspected after so long without a message, in ms: three heartbeats and a slow way. */
const SILENT_MS = 1_500;
/** Two gateways whose beliefs differ for so long compare them, in ms: news still under way settles most
 * differences by itself. */
const COMPARE_MS = 1_000;
/** A gateway that has heard nobody for so long is cut off itself, in ms: two heartbeats and a slow way. It is
 * shorter by more than a heartbeat than the time after which a partner is suspected, or those that spoke first
 * before the cut would be. */
const ALONE_MS = 1_050;
/** A timer that fires this much late shows that the process itself stood still, in ms: what was sent to it
 * meanwhile is read after the timer. */
const STANDSTILL_MS = 600;
/** Names of found and lost gateways in one line of the log at most. */
const MAX_LOGGED_NAMES = 16;
/** Messages that wait for a link at most; a peer that cannot be reached for so many is lost. */
const MAX_WAITING = 1_000;

/** Numbers that are the same in all gateways that know the same. */
export interface StateDigests {
  /** Of requests under which servers ended. */
  crashes: number;
  /** Of what servers ask of all gateways. */
  notices: number;
}

/** What the overlay needs. */
export interface OverlayParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  self: OwnIdentity;
  status(): OwnStatus;
  versions(): StoreVersions;
  digests(): StateDigests;
  /** Peers to keep a link to though they are no partners. */
  requiredPeers(): Iterable<string>;
  received(node: string, message: GatewayMessage): void;
  /** A partner's heartbeat said how far it knows the store. */
  versionsReceived(node: string, versions: StoreVersions): void;
  /** A partner's heartbeat said its digests. */
  digestsReceived(node: string, digests: StateDigests): void;
  /** The link to a peer was lost, the peer is silent, or another incarnation has taken its place. */
  lost(node: string): void;
  /** Makes links; real ones where absent. */
  createLinks?: LinksFactory;
}

/** The gateways that a gateway knows, and the way to them. */
export interface Overlay {
  listen(host: string, port: number): Promise<void>;
  /** Begins to look for peers and to exchange heartbeats. */
  start(): void;
  port(): number;
  /** Learns of an address at which a gateway may be; `isSeed` where the settings name it. */
  addAddress: (address: string, isSeed?: boolean) => void;
  /** Peers believed alive, ordered by name; the same array until it changes. Empty while this gateway
   * hears nobody. */
  peers(): readonly GatewayState[];
  /** Whether there are partners, and any peer was heard a moment ago. */
  isConnected: () => boolean;
  /** Sends to a peer, making a link where there is none; false when the peer is not known. */
  send(node: string, message: PeerMessage): boolean;
  /** Sends to all partners. */
  broadcast(message: PeerMessage): void;
  /** Tells all gateways at once that this one's status has changed. */
  publish(): void;
  close(): void;
}

/**
 * Creates an overlay without links.
 *
 * @param parts who this gateway is and who listens
 */
export function createOverlay(parts: OverlayParts): Overlay {
  const { clock, log, self } = parts;
  const partners = createPartners();
  const probing = createDiscovery(clock, parts.random);
  /** Messages for peers to which a link is being made. */
  const waiting = new Map<string, PeerMessage[]>();
  /** Peers that have not answered yet, since when. */
  const expecting = new Map<string, number>();
  /** Partners that believe something else, since when. */
  const differing = new Map<string, number>();
  const nobody: readonly GatewayState[] = [];
  let chosenOf: readonly GatewayState[] | undefined;
  let chosen = new Set<string>();
  /** When any peer was last heard. */
  let heardAt = Number.NEGATIVE_INFINITY;
  let wasIsolated = false;
  let comparedAt = Number.NEGATIVE_INFINITY;
  let tendedAt = clock.now();
  let beatTimer: Timer | undefined;
  let isClosed = false;

  const beliefs = createGatewayMembership({
    clock,
    self,
    status: () => parts.status(),
    partners: () => partners.names(),
    isResponsive: wasHeardLately,
    send(node, message) {
      links.send(node, message);
    },
    lost,
    merged(state) {
      probing.removeAddress(state.address);
    },
  });
  const { members } = beliefs;
  const links = (parts.createLinks ?? createPeerLinks)(clock, {
    ownState: beliefs.ownState,
    opened,
    received: receive,
    closed,
    failed,
    selfDialled(address) {
      probing.removeAddress(address);
    },
  });

  function opened(state: GatewayState): void {
    const { node } = state;
    probing.removeAddress(state.address);
    const knewNobody = members.alive().length === 0;
    beliefs.introductionReceived(state);
    for (const message of waiting.get(node) ?? []) {
      links.send(node, message);
    }
    waiting.delete(node);
    if (knewNobody) compare(node);
    if (partners.has(node)) sendBeat(node);
  }

  /** A peer that is believed lost, or the incarnation before of one that is there. */
  function lost(node: string): void {
    if (!members.isAlive(node)) {
      partners.remove(node);
      waiting.delete(node);
    }
    // a link that closes tells the same
    if (!members.isAlive(node) && links.isLinked(node)) links.drop(node);
    else parts.lost(node);
  }

  function closed(node: string): void {
    expecting.delete(node);
    differing.delete(node);
    const state = members.find(node)?.state;
    if (partners.has(node) && state !== undefined) links.dial(state.address);
    parts.lost(node);
  }

  /** A machine that answers that no process listens has lost its gateway; silence may be a slow way. */
  function failed(address: string, isRefused: boolean): void {
    for (const state of members.alive()) {
      const { node } = state;
      if (state.address !== address || links.isLinked(node)) continue;
      if (waiting.delete(node)) parts.lost(node);
      if (isRefused) beliefs.suspect(state);
    }
  }

  /** One that hears nobody is cut off itself, and knows nothing of the others. */
  function isIsolated(): boolean {
    return partners.names().length > 0 && clock.now() - heardAt > ALONE_MS;
  }

  function receive(node: string, message: PeerMessage): void {
    // whoever was not heard meanwhile has its time anew
    if (isIsolated()) partners.resetSilence(clock.now());
    heardAt = clock.now();
    expecting.delete(node);
    if (message.kind === 'beat') takeBeat(node, message);
    else if (message.kind === 'news') beliefs.applyUpdates(message, node);
    else if (message.kind === 'view') beliefs.applyView(message);
    else if (message.kind === 'want' && message.what === 'view') beliefs.sendView(node);
    else if (message.kind !== 'introduction') parts.received(node, message);
  }

  function takeBeat(node: string, beat: PeerMessage & { kind: 'beat' }): void {
    const now = clock.now();
    partners.recordHeartbeatReceived(node, beat.isChosen, now);
    beliefs.notifySuspected(node);
    if (beat.digest === beliefs.digest()) differing.delete(node);
    else noteDifference(node, now);
    parts.versionsReceived(node, beat);
    parts.digestsReceived(node, { crashes: beat.crashDigest, notices: beat.noticeDigest });
  }

  function noteDifference(node: string, now: number): void {
    const since = differing.get(node) ?? now;
    differing.set(node, since);
    if (now - since >= COMPARE_MS && now - comparedAt >= COMPARE_MS) compare(node);
  }

  function compare(node: string): void {
    comparedAt = clock.now();
    differing.delete(node);
    links.send(node, { kind: 'want', what: 'view', after: 0 });
  }

  function wasHeardLately(node: string): boolean {
    const heardAt = partners.has(node) ? links.heardAt(node) : undefined;
    return heardAt !== undefined && clock.now() - heardAt < REDIAL_MS;
  }

  function tend(): void {
    if (isClosed) return;
    const now = clock.now();
    // what others have sent meanwhile is read after this timer
    if (now - tendedAt > BEAT_MS + STANDSTILL_MS) forgiveAll(now);
    tendedAt = now;
    dropSilentLinks(now);
    watchPartners(now);
    beliefs.expire(now);
    linkPartners(now);
    probe(now);
    closeIdle();
    beliefs.publish();
    beliefs.flush();
    for (const partner of partners.names()) {
      sendBeat(partner);
      partners.recordHeartbeatSent(partner);
    }
    logChanges();
    beatTimer = clock.after(BEAT_MS, tend);
  }

  /** A peer that does not answer sits behind a connection that has gone silent, or is gone. */
  function dropSilentLinks(now: number): void {
    for (const [node, since] of expecting) {
      if (now - since <= SILENT_MS) continue;
      expecting.delete(node);
      links.drop(node);
    }
  }

  function watchPartners(now: number): void {
    for (const node of partners.silent(now, REDIAL_MS)) {
      const address = members.find(node)?.state.address;
      if (address !== undefined && links.isLinked(node)) links.dial(address, true);
    }
    for (const node of partners.silent(now, SILENT_MS)) {
      const state = members.find(node)?.state;
      if (isIsolated() || state === undefined) links.drop(node);
      else beliefs.suspect(state);
      if (state === undefined) partners.remove(node);
    }
  }

  function forgiveAll(now: number): void {
    partners.resetSilence(now);
    heardAt = now;
  }

  function linkPartners(now: number): void {
    const alive = members.alive();
    if (alive !== chosenOf) {
      chosenOf = alive;
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

  function probe(now: number): void {
    // one that is cut off does not know who is lost
    const candidates = isIsolated()
      ? [...members.suspected(), ...members.alive()]
      : members.suspected();
    const addresses = candidates.map(({ address }) => address);
    const missing = PARTNERS / 2 - links.nodes().length;
    const alive = members.alive().length;
    for (const address of probing.chooseAddresses({ now, missing, alive, lost: addresses })) {
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

  function sendBeat(node: string): void {
    const isChosen = partners.isChosen(node);
    const { crashes, notices } = parts.digests();
    links.send(node, {
      kind: 'beat',
      ...parts.versions(),
      isChosen,
      digest: beliefs.digest(),
      crashDigest: crashes,
      noticeDigest: notices,
    });
  }

  function logChanges(): void {
    const { found, lost } = beliefs.drainChanges();
    const isAlone = isIsolated();
    if (found.length === 0 && lost.length === 0 && isAlone === wasIsolated) return;
    wasIsolated = isAlone;
    log.write('gatewaysChanged', {
      found: found.slice(0, MAX_LOGGED_NAMES),
      lost: lost.slice(0, MAX_LOGGED_NAMES),
      foundCount: found.length,
      lostCount: lost.length,
      alive: members.alive().length,
      links: links.nodes().length,
      isIsolated: isAlone,
    });
  }

  function send(node: string, message: PeerMessage): boolean {
    if (links.send(node, message)) {
      if (message.kind === 'job.submit' && !expecting.has(node)) expecting.set(node, clock.now());
      return true;
    }
    if (!link(node)) return false;
    const queue = waiting.get(node) ?? [];
    waiting.set(node, queue);
    if (queue.length >= MAX_WAITING) return false;
    queue.push(message);
    return true;
  }

  return {
    listen: links.listen,
    start: tend,
    port: links.port,
    addAddress(address, isSeed = false) {
      if (isClosed || address === self.address) return;
      for (const state of members.alive()) {
        if (state.address === address) return;
      }
      probing.addAddress(address, isSeed);
    },
    peers: () => (isIsolated() ? nobody : members.alive()),
    isConnected: () => partners.names().length > 0 && !isIsolated(),
    send,
    broadcast(message) {
      for (const partner of partners.names()) {
        links.send(partner, message);
      }
    },
    publish() {
      beliefs.publish();
      beliefs.flush();
    },
    close() {
      isClosed = true;
      beatTimer?.cancel();
      beliefs.close();
      links.close();
    },
  };
}
