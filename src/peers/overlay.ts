/**
 * Who else is there, and the way to them. Each gateway exchanges heartbeats with a bounded number of
 * partners, whatever the size of the fleet; what a gateway says of itself, and that one is silent,
 * goes from partner to partner to all. Links to others, as to a scheduler, are made when they are
 * needed. A fleet no larger than the number of partners is a full mesh.
 */
import type { Log } from '../events/index.js';
import {
  choosePeers,
  createMembers,
  createOutbox,
  createPartners,
  hashName,
} from '../gossip/index.js';
import type { Clock, RandomSource, Timer } from '../task/index.js';
import { createPeerLinks, type LinksFactory } from './links.js';
import type { GatewayState, GatewaySuspicion, PeerMessage, StoreVersions } from './messages.js';
import { packNews, peerNewsOrder, type PeerNews } from './news.js';
import { createPendingSuspicions } from './pending-suspicions.js';
import { createProbing } from './probing.js';

/** Time between two heartbeats, in ms: what a gateway missed must reach it well within the two seconds
 * that a change may take. */
const BEAT_MS = 400;
/** Partners of a gateway in a large fleet, those that chose it included: with half of all gateways lost at
 * once, those that are left stay connected. */
const PARTNERS = 12;
/** A partner that was silent for so long is dialled once more, in ms, since a connection may go silent
 * without an error: two heartbeats and a slow way. */
const REDIAL_MS = 900;
/** A partner is suspected after so long without a word, in ms: three heartbeats and a slow way. */
const SILENT_MS = 1_500;
/** Suspected gateways are forgotten after so long, in ms. */
const FORGET_MS = 60_000;
/** News that arrives within this time is passed on together, in ms. */
const GATHER_MS = 20;
/** Two gateways whose beliefs differ for so long compare them, in ms: news still under way settles most
 * differences by itself. */
const COMPARE_MS = 1_000;
/** Names of found and lost gateways in one line of the log at most. */
const MAX_LOGGED_NAMES = 16;
/** Messages that wait for a link at most; a peer that cannot be reached for so many is lost. */
const MAX_WAITING = 1_000;

/** What a gateway says of itself when it changes. */
export type OwnStatus = Pick<GatewayState, 'isReady' | 'isFollowing'>;

/** What the overlay needs. */
export interface OverlayParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  self: Omit<GatewayState, 'sequence' | 'isReady' | 'isFollowing'>;
  status(): OwnStatus;
  versions(): StoreVersions;
  /** Peers to keep a link to though they are no partners. */
  needed(): Iterable<string>;
  received(node: string, message: PeerMessage): void;
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
  learn: (address: string, isSeed?: boolean) => void;
  /** Peers believed alive, ordered by name; the same array until it changes. Empty while this gateway
   * hears nobody. */
  peers(): readonly GatewayState[];
  /** Whether a partner was heard within two heartbeats. */
  isConnected(): boolean;
  /** Sends to a peer, making a link where there is none; false when the peer is not known. */
  send(node: string, message: PeerMessage): boolean;
  /** Sends to all partners. */
  tellPartners(message: PeerMessage): void;
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
  const members = createMembers<GatewayState>();
  const partners = createPartners();
  const outbox = createOutbox<PeerNews>(() => partners.names(), peerNewsOrder);
  const pending = createPendingSuspicions();
  const probing = createProbing(clock, parts.random);
  /** Messages for peers to which a link is being made. */
  const waiting = new Map<string, PeerMessage[]>();
  /** Peers that owe an answer, since when. */
  const expecting = new Map<string, number>();
  /** Partners that believe something else, since when. */
  const differing = new Map<string, number>();
  const nobody: readonly GatewayState[] = [];
  const changes = { found: new Set<string>(), lost: new Set<string>() };
  let chosenOf: readonly GatewayState[] | undefined;
  let chosen = new Set<string>();
  let digest: { of: readonly GatewayState[]; sequence: number; value: number } | undefined;
  let sequence = 1;
  let told: OwnStatus = { isReady: false, isFollowing: false };
  let isIsolated = false;
  let wasIsolated = false;
  let comparedAt = Number.NEGATIVE_INFINITY;
  let tendedAt = clock.now();
  let beatTimer: Timer | undefined;
  let flushTimer: Timer | undefined;
  let isClosed = false;

  const links = (parts.createLinks ?? createPeerLinks)(clock, {
    ownState,
    opened,
    received: receive,
    closed,
    failed,
    isSelf(address) {
      probing.settle(address);
    },
  });

  function ownState(): GatewayState {
    return { ...self, sequence, ...told };
  }

  function publish(): void {
    const { isReady, isFollowing } = parts.status();
    if (isReady === told.isReady && isFollowing === told.isFollowing) return;
    told = { isReady, isFollowing };
    sequence += 1;
    tell({ kind: 'state', word: ownState() });
  }

  function tell(item: PeerNews, from?: string): void {
    outbox.add(item, from);
    if (isClosed) return;
    flushTimer ??= clock.after(GATHER_MS, flush);
  }

  function flush(): void {
    flushTimer?.cancel();
    flushTimer = undefined;
    for (const partner of partners.names()) {
      const items = outbox.take(partner);
      if (items.length > 0) links.send(partner, packNews('news', items));
    }
  }

  function opened(state: GatewayState): void {
    const { node } = state;
    probing.settle(state.address);
    const knewNobody = members.alive().length === 0;
    takeState(state, node, true);
    challenge(node);
    for (const message of waiting.get(node) ?? []) {
      links.send(node, message);
    }
    waiting.delete(node);
    if (knewNobody) compare(node);
    if (partners.has(node)) sendBeat(node);
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
      if (isRefused) suspect(state);
    }
  }

  function receive(node: string, message: PeerMessage): void {
    expecting.delete(node);
    if (message.kind === 'beat') takeBeat(node, message);
    else if (message.kind === 'news') takeNews(message, node);
    else if (message.kind === 'view') takeView(message);
    else if (message.kind === 'want' && message.what === 'view') sendView(node);
    parts.received(node, message);
  }

  function takeBeat(node: string, beat: PeerMessage & { kind: 'beat' }): void {
    const now = clock.now();
    if (isIsolated) {
      isIsolated = false;
      partners.forgive(now);
    }
    partners.heard(node, beat.isChosen, now);
    challenge(node);
    if (beat.digest === resolveDigest()) differing.delete(node);
    else noteDifference(node, now);
  }

  /** A gateway that is heard though it is suspected is told so, and stands against it before all. */
  function challenge(node: string): void {
    const known = members.find(node);
    if (known?.suspectedAt === undefined) return;
    const word = resolveSuspicion(known.state);
    links.send(node, packNews('news', [{ kind: 'suspicion', word }]));
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

  function takeNews(news: PeerMessage & { kind: 'news' }, from: string): void {
    for (const state of news.states) {
      takeState(state, from);
    }
    for (const suspicion of news.suspicions) {
      takeSuspicion(suspicion, from);
    }
  }

  /** What was asked for is not passed on: whoever lacks it asks as well. */
  function takeView({ states, suspicions }: PeerMessage & { kind: 'view' }): void {
    for (const state of states) {
      if (state.node !== self.node) learn(state, false);
    }
    for (const suspicion of suspicions) {
      takeSuspicion(suspicion);
    }
  }

  function sendView(node: string): void {
    const items: PeerNews[] = [{ kind: 'state', word: ownState() }];
    for (const { state, suspectedAt } of members.all()) {
      if (suspectedAt === undefined) items.push({ kind: 'state', word: state });
      else items.push({ kind: 'suspicion', word: resolveSuspicion(state) });
    }
    links.send(node, packNews('view', items));
  }

  function takeState(state: GatewayState, from: string, isOwnWord = false): void {
    if (state.node === self.node) {
      // whoever takes an earlier process for this one hears this one's own word
      if (state.incarnation !== self.incarnation) tell({ kind: 'state', word: ownState() });
      return;
    }
    const item: PeerNews = { kind: 'state', word: state };
    if (learn(state, isOwnWord)) tell(item, from);
    else outbox.heard(item, from);
  }

  function learn(state: GatewayState, isOwnWord: boolean): boolean {
    const { node, incarnation } = state;
    const known = members.find(node);
    const before = known?.state.incarnation;
    const wasAlive = members.isAlive(node);
    if (!members.learn(state, isOwnWord)) return false;
    pending.refuted(node);
    probing.settle(state.address);
    if (!wasAlive) changes.found.add(node);
    if (before !== undefined && before !== incarnation) parts.lost(node);
    return true;
  }

  function takeSuspicion(suspicion: GatewaySuspicion, from?: string): void {
    const { node, incarnation } = suspicion;
    if (node === self.node) {
      if (incarnation === self.incarnation) refute(suspicion);
      return;
    }
    const known = members.find(node);
    if (known?.state.incarnation !== incarnation) return;
    const item: PeerNews = { kind: 'suspicion', word: suspicion };
    if (from !== undefined) outbox.heard(item, from);
    if (known.suspectedAt !== undefined) return;
    if (known.state.sequence > suspicion.sequence) {
      if (from !== undefined) tell({ kind: 'state', word: known.state });
      return;
    }
    if (wasHeardLately(node)) {
      links.send(node, packNews('news', [item]));
      return;
    }
    if (pending.add(suspicion, clock.now()) && from !== undefined) tell(item, from);
  }

  /** A greater sequence, told to all, stands against the suspicion. */
  function refute(suspicion: GatewaySuspicion): void {
    if (suspicion.sequence < sequence) return;
    sequence = suspicion.sequence + 1;
    tell({ kind: 'state', word: ownState() });
  }

  function wasHeardLately(node: string): boolean {
    const heardAt = partners.has(node) ? links.heardAt(node) : undefined;
    return heardAt !== undefined && clock.now() - heardAt < REDIAL_MS;
  }

  function suspect(state: GatewayState): void {
    const word = resolveSuspicion(state);
    if (believeLost(word)) tell({ kind: 'suspicion', word });
  }

  function believeLost(suspicion: GatewaySuspicion): boolean {
    const { node } = suspicion;
    if (!members.suspect(suspicion, clock.now())) return false;
    changes.lost.add(node);
    partners.remove(node);
    waiting.delete(node);
    if (links.isLinked(node)) links.drop(node);
    else parts.lost(node);
    return true;
  }

  function tend(): void {
    if (isClosed) return;
    const now = clock.now();
    // what others have sent meanwhile is read after this timer
    if (now - tendedAt > BEAT_MS + (SILENT_MS - REDIAL_MS)) partners.forgive(now);
    tendedAt = now;
    dropSilentLinks(now);
    watchPartners(now);
    for (const suspicion of pending.takeDue(now)) {
      believeLost(suspicion);
    }
    linkPartners(now);
    probe(now);
    closeIdle();
    publish();
    flush();
    for (const partner of partners.names()) {
      sendBeat(partner);
      partners.told(partner);
    }
    members.forget(now, FORGET_MS);
    logChanges();
    beatTimer = clock.after(BEAT_MS, tend);
  }

  /** A peer that owes an answer sits behind a connection that has gone silent, or is gone. */
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
    const silent = partners.silent(now, SILENT_MS);
    const known = partners.names();
    // one that hears none of its partners is cut off itself, and knows nothing of them
    isIsolated = known.length > 0 && silent.length === known.length;
    for (const node of silent) {
      const state = members.find(node)?.state;
      if (isIsolated || state === undefined) links.drop(node);
      else suspect(state);
      if (state === undefined) partners.remove(node);
    }
  }

  function linkPartners(now: number): void {
    const alive = members.alive();
    if (alive !== chosenOf) {
      chosenOf = alive;
      chosen = new Set(choosePeers(self.node, alive, PARTNERS).map(({ node }) => node));
    }
    partners.choose(chosen, now);
    for (const node of [...partners.names(), ...parts.needed()]) {
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
    const lost: string[] = [];
    for (const { state, suspectedAt } of members.all()) {
      // one that is cut off does not know who is lost
      if (suspectedAt !== undefined || isIsolated) lost.push(state.address);
    }
    const missing = PARTNERS / 2 - links.nodes().length;
    const alive = members.alive().length;
    for (const address of probing.choose({ now, missing, alive, lost })) {
      links.dial(address);
    }
  }

  function closeIdle(): void {
    const idle = links.idle();
    if (idle.length === 0) return;
    const kept = new Set([...partners.names(), ...parts.needed()]);
    for (const node of idle) {
      if (!kept.has(node)) links.drop(node);
    }
  }

  function sendBeat(node: string): void {
    const isChosen = partners.isChosen(node);
    links.send(node, { kind: 'beat', ...parts.versions(), isChosen, digest: resolveDigest() });
  }

  /** The same in all gateways that believe the same. */
  function resolveDigest(): number {
    const of = members.alive();
    if (digest?.of === of && digest.sequence === sequence) return digest.value;
    let value = hashState(ownState());
    for (const state of of) {
      value = (value + hashState(state)) >>> 0;
    }
    digest = { of, sequence, value };
    return value;
  }

  function logChanges(): void {
    const { found, lost } = changes;
    if (found.size === 0 && lost.size === 0 && isIsolated === wasIsolated) return;
    wasIsolated = isIsolated;
    log.write('gatewaysChanged', {
      found: [...found].slice(0, MAX_LOGGED_NAMES),
      lost: [...lost].slice(0, MAX_LOGGED_NAMES),
      foundCount: found.size,
      lostCount: lost.size,
      alive: members.alive().length,
      links: links.nodes().length,
      isIsolated,
    });
    found.clear();
    lost.clear();
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
    learn(address, isSeed = false) {
      if (isClosed || address === self.address) return;
      for (const state of members.alive()) {
        if (state.address === address) return;
      }
      probing.learn(address, isSeed);
    },
    peers: () => (isIsolated ? nobody : members.alive()),
    isConnected() {
      return partners.silent(clock.now(), REDIAL_MS).length < partners.names().length;
    },
    send,
    tellPartners(message) {
      for (const partner of partners.names()) {
        links.send(partner, message);
      }
    },
    publish() {
      publish();
      flush();
    },
    close() {
      isClosed = true;
      beatTimer?.cancel();
      flushTimer?.cancel();
      links.close();
    },
  };
}

function hashState({ node, incarnation, sequence }: GatewayState): number {
  return hashName(`${node}/${incarnation}/${sequence}`);
}

function resolveSuspicion({ node, incarnation, sequence }: GatewayState): GatewaySuspicion {
  return { node, incarnation, sequence };
}
