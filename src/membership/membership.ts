/**
 * The membership task: exchanges heartbeats with a bounded set of partners, passes on what changed,
 * and learns of other nodes from both and from the platform's lagging list. What a node sends goes
 * by its number of partners and by the number of changes, never by the number of nodes.
 */
import type { Log } from '../events/index.js';
import { choosePeers, createOutbox, createPartners } from '../gossip/index.js';
import type {
  Heartbeat,
  Links,
  GossipMessage,
  NodeState,
  Notice,
  ShardSummary,
  Suspicion,
  VmsDifference,
} from '../links/index.js';
import type { Vm, VmList } from '../ports/index.js';
import type { Settings } from '../settings/index.js';
import type { Clock, Timer } from '../task/index.js';
import {
  createEmptyGossipMessage,
  createGossipMessage,
  membershipUpdateOrder,
  type MembershipUpdate,
} from './updates.js';
import { createShardRecords } from './shard-records.js';
import { createView, type View } from './view.js';
import { createVmWatch } from './vm-watch.js';

/** Suspected nodes are forgotten after this many times the suspicion time. */
const FORGET_FACTOR = 60;
/** News that arrives within this time is passed on together. */
const GATHER_NEWS_MS = 20;
const FETCH_TIMEOUT_MS = 2_000;

/** What this node says of itself, but for the sequence that membership adds. */
export type OwnState = Omit<NodeState, 'sequence'>;

/** What membership needs. */
export interface MembershipParts {
  /** Name of this node. */
  node: string;
  terms: Settings['membership'];
  seeds: readonly string[];
  links: Pick<Links, 'peers' | 'dial' | 'drop' | 'send' | 'query'>;
  vmList: VmList;
  clock: Clock;
  log: Log;
  ownState(): OwnState;
  ownShards(): ShardSummary[];
  /** A peer's message carried this configuration version. */
  versionReceived(version: number): void;
  /** Shards whose holder is alive and says that it holds them; told again with each heartbeat. */
  shardSummariesReceived(shards: ShardSummary[]): void;
  /** The platform's list changed. */
  listed(vms: readonly Vm[]): void;
}

/** The membership of a node. */
export interface Membership {
  start(): Promise<void>;
  stop(): void;
  /** A link to a peer is up. */
  opened(peer: string): void;
  receive(peer: string, notice: Heartbeat | GossipMessage): void;
  /** A holder's word on its shard, that came with an answer. */
  shardSummaryReceived(summary: ShardSummary): void;
  /** Tells partners now, because something changed that others should know at once. */
  announce(): void;
  /** Sends to every partner. */
  broadcast(notice: Notice): void;
  /** Whether the link to a peer is to stay though nothing passes on it. */
  isPartner(peer: string): boolean;
  /** Whether every node is a partner of every other, so that each hears all at first hand. */
  isMeshed(): boolean;
  /** States of all nodes believed alive and not leaving, this one included. */
  alive(): NodeState[];
  /** Their names; the same array until it changes. */
  aliveNames(): readonly string[];
  /** Whether the node is believed alive. */
  isAlive(node: string): boolean;
  find(node: string): NodeState | undefined;
  /** The platform's list as last read or heard. */
  vms(): readonly Vm[];
  /** How the platform's list differs from an earlier one. */
  vmsSince(digest: string): VmsDifference;
  own(): NodeState;
}

/**
 * Creates the membership task of a node.
 *
 * @param parts the node's links, list and state
 */
export function createMembership(parts: MembershipParts): Membership {
  const { node: self, terms, links, clock, log } = parts;
  const view: View = createView();
  const partners = createPartners();
  const outbox = createOutbox(() => partners.names(), membershipUpdateOrder);
  const records = createShardRecords();
  let sequence = 0;
  let lastBeatAt = clock.now();
  let probed = 0;
  let toldState = '';
  let toldShards = new Map<string, ShardSummary>();
  let names: { of: readonly NodeState[]; leaving: boolean; list: string[] } | undefined;
  let beatTimer: Timer | undefined;
  let flushTimer: Timer | undefined;
  let stopped = false;

  const vmWatch = createVmWatch({
    vmList: parts.vmList,
    clock,
    log,
    everyMs: terms.listEveryMs,
    countNodes: () => view.alive().length + 1,
    listed: (vms) => {
      parts.listed(vms);
    },
    tell: (digest, from) => {
      tell({ kind: 'list', digest }, from);
    },
    fetch: fetchVms,
  });

  async function fetchVms(peer: string, digest: string): Promise<VmsDifference | undefined> {
    const answer = await links.query(peer, { kind: 'vms.fetch', digest }, FETCH_TIMEOUT_MS);
    if (answer.isErr() || answer.value.kind !== 'vms.difference') return undefined;
    return answer.value;
  }

  function own(): NodeState {
    return { ...parts.ownState(), sequence };
  }

  function ownShards(): ShardSummary[] {
    const { incarnation } = parts.ownState();
    return parts.ownShards().map((summary) => ({ ...summary, incarnation }));
  }

  function isMeshed(): boolean {
    return view.alive().length <= terms.maxPeers;
  }

  function tell(item: MembershipUpdate, from?: string): void {
    outbox.add(item, from);
    if (flushTimer !== undefined || stopped) return;
    flushTimer = clock.after(GATHER_NEWS_MS, () => {
      flushTimer = undefined;
      flush();
    });
  }

  function flush(): void {
    for (const peer of partners.names()) {
      const items = outbox.take(peer);
      if (items.length > 0) links.send(peer, createGossipMessage(items));
    }
  }

  function announce(): void {
    sequence += 1;
    tellOwnState();
    tellOwnShards();
    flush();
    for (const peer of partners.names()) {
      sendHeartbeat(peer);
    }
  }

  function tellOwnState(): void {
    const state = own();
    const { incarnation, zone, caller, operator, peer, leaving } = state;
    const told = JSON.stringify([incarnation, zone, caller, operator, peer, leaving]);
    if (told === toldState) return;
    toldState = told;
    outbox.add({ kind: 'state', state });
  }

  /** Shards taken or given up since the last time are news for everybody. */
  function tellOwnShards(): void {
    const held = new Map<string, ShardSummary>();
    for (const summary of ownShards()) {
      held.set(summary.shard, summary);
      if (records.learn(summary) === 'changed') outbox.add({ kind: 'shard', summary });
    }
    for (const [shard, former] of toldShards) {
      if (held.get(shard)?.fence === former.fence) continue;
      const summary = { ...former, servers: [], released: true };
      if (records.learn(summary) === 'changed') outbox.add({ kind: 'shard', summary });
    }
    toldShards = held;
  }

  function sendHeartbeat(peer: string): void {
    const { incarnation, configurationVersion, inFlight } = parts.ownState();
    links.send(peer, {
      kind: 'heartbeat',
      incarnation,
      sequence,
      configurationVersion,
      inFlight,
      chosen: partners.isChosen(peer),
      isStranger: !view.isAlive(peer),
      shards: isMeshed() ? ownShards() : [],
    });
    partners.recordHeartbeatSent(peer);
  }

  /** Everything this node knows, for a partner that may have missed some of it. */
  function greet(peer: string): void {
    const news = createEmptyGossipMessage();
    news.states.push(own(), ...view.alive());
    // One that left is not alive, yet its successor must hear that it is taken for it.
    const known = view.find(peer)?.state;
    if (known?.leaving === true) news.states.push(known);
    news.shards.push(...records.all());
    links.send(peer, { ...news, listDigest: vmWatch.digest() });
    sendHeartbeat(peer);
  }

  function beat(): void {
    if (stopped) return;
    const now = clock.now();
    if (now - lastBeatAt > terms.suspectAfterMs) partners.resetSilence(now);
    lastBeatAt = now;
    suspectSilent();
    choosePartners();
    dialMissing();
    announce();
    view.forget(now, terms.suspectAfterMs * FORGET_FACTOR);
    parts.shardSummariesReceived(listHeldShards());
    beatTimer = clock.after(terms.heartbeatEveryMs, beat);
  }

  function suspectSilent(): void {
    for (const node of partners.silent(clock.now(), terms.suspectAfterMs)) {
      partners.remove(node);
      links.drop(node);
      const state = view.find(node)?.state;
      if (state === undefined) continue;
      const { incarnation, sequence: last } = state;
      takeSuspicion({ node, incarnation, sequence: last });
    }
  }

  function takeSuspicion(suspicion: Suspicion, from?: string): void {
    if (!view.suspect(suspicion, clock.now())) return;
    tell({ kind: 'suspicion', suspicion }, from);
    if (!partners.has(suspicion.node)) links.drop(suspicion.node);
  }

  function choosePartners(): void {
    const chosen = new Set<string>();
    for (const { node } of choosePeers(self, view.alive(), terms.maxPeers)) {
      chosen.add(node);
    }
    const linked = new Set(links.peers());
    for (const peer of partners.choose(chosen, clock.now())) {
      // What was told to partners since the link opened has passed this one by.
      if (linked.has(peer)) greet(peer);
    }
  }

  function dialMissing(): void {
    const linked = new Set(links.peers());
    for (const peer of partners.names()) {
      const state = view.find(peer)?.state;
      if (state !== undefined && !linked.has(peer)) links.dial(state.peer);
    }
    for (const address of listProbes()) {
      links.dial(address);
    }
  }

  /**
   * Addresses from seeds, the platform's list and suspected nodes that are not of a node believed
   * alive: all of them while few nodes are known, else one after the other, so that the parts of
   * a network partition find each other again.
   */
  function listProbes(): string[] {
    const candidates = new Set(parts.seeds);
    for (const vm of vmWatch.vms()) {
      if (vm.kind === 'entry') candidates.add(vm.address);
    }
    for (const { state, suspectedAt } of view.members()) {
      if (suspectedAt !== undefined) candidates.add(state.peer);
      else candidates.delete(state.peer);
    }
    candidates.delete(parts.ownState().peer);
    const addresses = [...candidates];
    const missing = terms.maxPeers - view.alive().length;
    if (missing > 0) return addresses.slice(0, missing);
    probed += 1;
    const next = addresses[probed % addresses.length];
    return next === undefined ? [] : [next];
  }

  function listHeldShards(): ShardSummary[] {
    return records.all().filter(isHeld);
  }

  function isHeld(summary: ShardSummary): boolean {
    if (summary.released === true || summary.holder === self) return false;
    const holder = view.find(summary.holder);
    if (holder === undefined || holder.suspectedAt !== undefined) return false;
    return summary.incarnation === undefined || summary.incarnation === holder.state.incarnation;
  }

  function shardSummaryReceived(summary: ShardSummary, from?: string): void {
    const learnt = records.learn(summary);
    if (learnt === 'changed') tell({ kind: 'shard', summary }, from);
    else if (from !== undefined) outbox.markKnown({ kind: 'shard', summary }, from);
    if (learnt !== 'old' && isHeld(summary)) parts.shardSummariesReceived([summary]);
  }

  function receiveHeartbeat(peer: string, heartbeat: Heartbeat): void {
    const isNew = partners.recordHeartbeatReceived(peer, heartbeat.chosen, clock.now());
    const wasSuspected = view.beat(peer, heartbeat);
    const state = view.find(peer)?.state;
    if (wasSuspected && state !== undefined) tell({ kind: 'state', state }, peer);
    // A process that is not the one known here answers with its own state.
    const isUnknown = state?.incarnation !== heartbeat.incarnation;
    // A greeting is lost with a link that gives way to another one of the same two nodes.
    if (isNew || isUnknown || heartbeat.isStranger) greet(peer);
    reach(peer, heartbeat.configurationVersion, peer);
    parts.versionReceived(heartbeat.configurationVersion);
    for (const summary of heartbeat.shards) {
      shardSummaryReceived(summary, peer);
    }
  }

  /** Versions in force go round with the next heartbeats, because there are many of them. */
  function reach(node: string, version: number, from: string): void {
    if (node === self) return;
    const item: MembershipUpdate = { kind: 'reached', node, version };
    if (view.reach(node, version)) outbox.add(item, from);
    else outbox.markKnown(item, from);
  }

  function receiveNews(peer: string, news: GossipMessage): void {
    for (const state of news.states) {
      receiveState(state, peer);
    }
    for (const suspicion of news.suspicions) {
      receiveSuspicion(suspicion, peer);
    }
    for (const { version, nodes } of news.reached) {
      for (const node of nodes) {
        reach(node, version, peer);
      }
    }
    for (const summary of news.shards) {
      shardSummaryReceived(summary, peer);
    }
    if (news.listDigest !== undefined) vmWatch.heard(peer, news.listDigest);
  }

  function receiveState(state: NodeState, peer: string): void {
    if (state.node === self) {
      // Who takes an earlier process for this one hears this one's own word.
      if (state.incarnation !== parts.ownState().incarnation) greet(peer);
      return;
    }
    const isStranger =
      state.node === peer && view.find(peer)?.state.incarnation !== state.incarnation;
    if (view.learn(state, state.node === peer)) tell({ kind: 'state', state }, peer);
    else outbox.markKnown({ kind: 'state', state }, peer);
    if (state.node === peer) parts.versionReceived(state.configurationVersion);
    if (isStranger) greet(peer);
  }

  /** Whoever knows better says so; that is this node itself, or one that heard later. */
  function receiveSuspicion(suspicion: Suspicion, peer: string): void {
    const { node, incarnation } = suspicion;
    if (node === self) {
      if (incarnation !== parts.ownState().incarnation) return;
      sequence = Math.max(sequence, suspicion.sequence) + 1;
      tell({ kind: 'state', state: own() });
      return;
    }
    const known = view.find(node);
    const isRefuted =
      known?.state.incarnation === incarnation && known.state.sequence > suspicion.sequence;
    if (isRefuted && known.suspectedAt === undefined) tell({ kind: 'state', state: known.state });
    else takeSuspicion(suspicion, peer);
    outbox.markKnown({ kind: 'suspicion', suspicion }, peer);
  }

  function aliveNames(): readonly string[] {
    const of = view.alive();
    const { leaving } = parts.ownState();
    if (names?.of === of && names.leaving === leaving) return names.list;
    const list = of.map(({ node }) => node);
    if (!leaving) list.push(self);
    names = { of, leaving, list };
    return list;
  }

  return {
    async start() {
      await vmWatch.start();
      lastBeatAt = clock.now();
      beat();
    },
    stop() {
      stopped = true;
      vmWatch.stop();
      beatTimer?.cancel();
      flushTimer?.cancel();
    },
    opened(peer) {
      if (partners.has(peer) || !view.isAlive(peer)) greet(peer);
    },
    receive(peer, notice) {
      if (notice.kind === 'heartbeat') receiveHeartbeat(peer, notice);
      else receiveNews(peer, notice);
    },
    shardSummaryReceived,
    announce,
    broadcast(notice) {
      for (const peer of partners.names()) {
        links.send(peer, notice);
      }
    },
    isPartner: (peer) => partners.has(peer),
    isMeshed,
    alive() {
      const alive = [...view.alive()];
      const state = own();
      if (!state.leaving) alive.push(state);
      return alive;
    },
    aliveNames,
    isAlive: (node) => node === self || view.isAlive(node),
    find: (node) => view.find(node)?.state,
    vms: () => vmWatch.vms(),
    vmsSince: (digest) => vmWatch.differenceSince(digest),
    own,
  };
}
