/**
 * The membership task: sends this node's heartbeats, learns of others from theirs and from the
 * platform's lagging list, and keeps links to a bounded set of peers.
 */
import type { Log } from '../events/index.js';
import type { Links, NodeState, Notice, ShardSummary } from '../links/index.js';
import type { Vm, VmList } from '../platform/index.js';
import type { Settings } from '../settings/index.js';
import type { Clock, Timer } from '../task/index.js';
import { choosePeers } from './peers.js';
import { createView, type View } from './view.js';

/** Silent nodes are forgotten after this many times the suspicion time. */
const FORGET_FACTOR = 60;
/** Hearsay takes this many heartbeats longer than a heartbeat of one's own. */
const HEARSAY_HEARTBEATS = 4;

/** What this node says of itself, but for the sequence that membership adds. */
export type OwnState = Omit<NodeState, 'sequence'>;

/** What membership needs. */
export interface MembershipParts {
  terms: Settings['membership'];
  seeds: readonly string[];
  links: Links;
  vmList: VmList;
  clock: Clock;
  log: Log;
  ownState(): OwnState;
  ownShards(): ShardSummary[];
  /** A peer's message carried this configuration version. */
  heardVersion(version: number): void;
  heardShards(shards: ShardSummary[]): void;
  listed(vms: readonly Vm[]): void;
}

/** The membership of a node. */
export interface Membership {
  start(): Promise<void>;
  stop(): void;
  receive(peer: string, heartbeat: Extract<Notice, { kind: 'heartbeat' }>): void;
  /** Sends heartbeats now, because something changed that others should know at once. */
  announce(): void;
  /** States of all nodes heard of lately, this one included. */
  alive(): NodeState[];
  /** Whether the node was heard of lately. */
  isAlive(node: string): boolean;
  find(node: string): NodeState | undefined;
  /** The platform's list as last read. */
  vms(): readonly Vm[];
  own(): NodeState;
}

/**
 * Creates the membership task of a node.
 *
 * @param parts the node's links, list and state
 */
export function createMembership(parts: MembershipParts): Membership {
  const { terms, links, clock, log } = parts;
  const view: View = createView();
  const hearsay = new Map<string, NodeState>();
  let vms: readonly Vm[] = [];
  let sequence = 0;
  let beatTimer: Timer | undefined;
  let listTimer: Timer | undefined;
  let stopped = false;

  function own(): NodeState {
    return { ...parts.ownState(), sequence };
  }

  function announce(): void {
    sequence += 1;
    const others = [...hearsay.values()];
    hearsay.clear();
    links.broadcast({ kind: 'heartbeat', from: own(), others, shards: parts.ownShards() });
  }

  function beat(): void {
    if (stopped) return;
    announce();
    dropSilentPeers();
    dialPeers();
    view.forget(clock.now(), terms.suspectAfterMs * FORGET_FACTOR);
    beatTimer = clock.after(terms.heartbeatEveryMs, beat);
  }

  function dropSilentPeers(): void {
    for (const peer of links.peers()) {
      const heardAt = links.lastHeardAt(peer) ?? 0;
      if (clock.now() - heardAt > terms.suspectAfterMs) links.drop(peer);
    }
  }

  function dialPeers(): void {
    const self = own();
    const addresses = new Set<string>();
    for (const node of choosePeers(self, knownNodes(), terms.maxPeers)) {
      addresses.add(node.peer);
    }
    for (const address of seedAddresses()) {
      addresses.add(address);
    }
    const linked = linkedAddresses();
    for (const address of addresses) {
      if (address !== self.peer && !linked.has(address)) links.dial(address);
    }
  }

  function linkedAddresses(): Set<string> {
    const linked = new Set<string>();
    for (const peer of links.peers()) {
      const member = view.find(peer);
      if (member !== undefined) linked.add(member.state.peer);
    }
    return linked;
  }

  /** Seeds and listed VMs matter until enough nodes are known by their own word. */
  function seedAddresses(): string[] {
    if (links.peers().length >= terms.maxPeers) return [];
    const addresses = [...parts.seeds];
    for (const vm of vms) {
      if (addresses.length >= terms.maxPeers) break;
      if (vm.kind === 'entry') addresses.push(vm.address);
    }
    return addresses;
  }

  function knownNodes(): NodeState[] {
    const nodes: NodeState[] = [];
    for (const member of view.members()) {
      nodes.push(member.state);
    }
    return nodes;
  }

  async function readList(): Promise<void> {
    const listed = await parts.vmList.list();
    if (listed.isOk()) {
      vms = listed.value;
      parts.listed(vms);
    } else {
      log.write('vmListUnavailable', { failure: listed.error });
    }
  }

  function followList(): void {
    if (stopped) return;
    void readList().then(() => {
      listTimer = clock.after(terms.listEveryMs, followList);
    });
  }

  function hearsayLimit(): number {
    return terms.suspectAfterMs + HEARSAY_HEARTBEATS * terms.heartbeatEveryMs;
  }

  function isAlive(node: string): boolean {
    if (node === own().node) return true;
    const member = view.find(node);
    return member !== undefined && clock.now() - member.heardAt <= hearsayLimit();
  }

  return {
    async start() {
      await readList();
      beat();
      listTimer = clock.after(terms.listEveryMs, followList);
    },
    stop() {
      stopped = true;
      beatTimer?.cancel();
      listTimer?.cancel();
    },
    receive(peer, heartbeat) {
      const now = clock.now();
      if (heartbeat.from.node !== peer) return;
      for (const state of [heartbeat.from, ...heartbeat.others]) {
        if (state.node === own().node) continue;
        if (view.learn(state, now)) hearsay.set(state.node, state);
      }
      parts.heardVersion(heartbeat.from.configurationVersion);
      parts.heardShards(heartbeat.shards);
    },
    announce,
    alive() {
      const alive = view.alive(clock.now(), hearsayLimit());
      const self = own();
      if (!self.leaving) alive.push(self);
      return alive;
    },
    isAlive,
    find: (node) => view.find(node)?.state,
    vms: () => vms,
    own,
  };
}
