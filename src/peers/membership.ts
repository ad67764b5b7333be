/**
 * Membership of the gateways, spread by gossip as in SWIM: each update crosses each link between partners
 * once. A suspicion reported by a peer takes effect only if it is not refuted in time. The overlay detects
 * silent partners and manages the links.
 */
import { createMembers, createOutbox, hashName, type Members } from '../gossip/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { GatewayState, GatewaySuspicion, PeerMessage } from './messages.js';
import { packUpdates, peerUpdateOrder, type PeerUpdate } from './updates.js';
import { createPendingSuspicions } from './pending-suspicions.js';

/** Updates that arrive within this time are sent in one message, in ms. */
const BATCH_MS = 20;
/** Retention of suspected gateways, in ms. */
const RETENTION_MS = 60_000;

/** The part of a gateway's state that changes while it runs. */
export type OwnStatus = Pick<GatewayState, 'isReady' | 'isFollowing'>;

/** The part of a gateway's state that is fixed at its start. */
export type OwnIdentity = Omit<GatewayState, 'sequence' | keyof OwnStatus>;

/** Dependencies of the membership. */
export interface GatewayMembershipParts {
  clock: Clock;
  self: OwnIdentity;
  status(): OwnStatus;
  /** Names of the current partners. */
  partners(): readonly string[];
  /** Whether a peer is a partner that has sent something recently. */
  isResponsive(node: string): boolean;
  send(node: string, message: PeerMessage): void;
  /** Called when a peer is considered lost, or was replaced by another incarnation. */
  lost(node: string): void;
  /** Called after a peer's newer state was merged. */
  merged(state: GatewayState): void;
}

/** Names of peers found and lost since the previous call. */
export interface MembershipChanges {
  found: string[];
  lost: string[];
}

/** What a gateway knows of the others. */
export interface GatewayMembership {
  members: Pick<Members<GatewayState>, 'alive' | 'suspected' | 'find' | 'isAlive'>;
  ownState: () => GatewayState;
  /** Broadcasts this gateway's state if its status has changed. */
  publish: () => void;
  /** Sends queued updates now. */
  flush: () => void;
  /** Handles the state in which a peer introduced itself. */
  introductionReceived(state: GatewayState): void;
  /** Applies updates from a partner and relays them. */
  applyUpdates(updates: PeerMessage & { kind: 'news' }, from: string): void;
  /** Applies a peer's whole view. It is not relayed: other gateways compare digests themselves. */
  applyView(view: PeerMessage & { kind: 'view' }): void;
  /** Sends the whole view to a peer. */
  sendView(node: string): void;
  /** Sends a peer the suspicion against it, if there is one; the peer then refutes it to all gateways. */
  notifySuspected: (node: string) => void;
  /** Marks a silent peer as lost and broadcasts the suspicion. */
  suspect(state: GatewayState): void;
  /** Marks peers as lost whose suspicions were not refuted in time, and removes old entries. */
  expire(now: number): void;
  /** Hash of the members alive; equal for equal views, whatever their order. */
  digest: () => number;
  drainChanges(): MembershipChanges;
  /** Cancels queued sends. */
  close(): void;
}

/**
 * Creates the membership of a gateway that knows no peers.
 *
 * @param parts this gateway's identity, its partners and the transport
 */
export function createGatewayMembership(parts: GatewayMembershipParts): GatewayMembership {
  const { clock, self } = parts;
  const members = createMembers<GatewayState>();
  const outbox = createOutbox<PeerUpdate>(() => parts.partners(), peerUpdateOrder);
  const pending = createPendingSuspicions();
  const found = new Set<string>();
  const lost = new Set<string>();
  let digest: { alive: readonly GatewayState[]; sequence: number; value: number } | undefined;
  let sequence = 1;
  let published: OwnStatus = { isReady: false, isFollowing: false };
  let flushTimer: Timer | undefined;
  let isClosed = false;

  function ownState(): GatewayState {
    return { ...self, sequence, ...published };
  }

  function publish(): void {
    const { isReady, isFollowing } = parts.status();
    if (isReady === published.isReady && isFollowing === published.isFollowing) return;
    published = { isReady, isFollowing };
    sequence += 1;
    broadcast({ kind: 'state', record: ownState() });
  }

  function broadcast(item: PeerUpdate, from?: string): void {
    outbox.add(item, from);
    if (isClosed) return;
    flushTimer ??= clock.after(BATCH_MS, flush);
  }

  function flush(): void {
    flushTimer?.cancel();
    flushTimer = undefined;
    for (const partner of parts.partners()) {
      const items = outbox.take(partner);
      if (items.length > 0) parts.send(partner, packUpdates('news', items));
    }
  }

  function notifySuspected(node: string): void {
    const known = members.find(node);
    if (known?.suspectedAt === undefined) return;
    const record = createSuspicion(known.state);
    parts.send(node, packUpdates('news', [{ kind: 'suspicion', record }]));
  }

  function applyUpdates(updates: PeerMessage & { kind: 'news' }, from: string): void {
    for (const state of updates.states) {
      applyState(state, from);
    }
    for (const suspicion of updates.suspicions) {
      applySuspicion(suspicion, from);
    }
  }

  function applyView({ states, suspicions }: PeerMessage & { kind: 'view' }): void {
    for (const state of states) {
      if (state.node !== self.node) merge(state, false);
    }
    for (const suspicion of suspicions) {
      applySuspicion(suspicion);
    }
  }

  function sendView(node: string): void {
    const items: PeerUpdate[] = [{ kind: 'state', record: ownState() }];
    for (const { state, suspectedAt } of members.all()) {
      if (suspectedAt === undefined) items.push({ kind: 'state', record: state });
      else items.push({ kind: 'suspicion', record: createSuspicion(state) });
    }
    parts.send(node, packUpdates('view', items));
  }

  function applyState(state: GatewayState, from: string, isFirstHand = false): void {
    if (state.node === self.node) {
      // the sender knows an earlier process of this node
      if (state.incarnation !== self.incarnation) broadcast({ kind: 'state', record: ownState() });
      return;
    }
    const item: PeerUpdate = { kind: 'state', record: state };
    if (merge(state, isFirstHand)) broadcast(item, from);
    else outbox.markKnown(item, from);
  }

  function merge(state: GatewayState, isFirstHand: boolean): boolean {
    const { node, incarnation } = state;
    const known = members.find(node);
    const previous = known?.state.incarnation;
    const wasAlive = members.isAlive(node);
    if (!members.merge(state, isFirstHand)) return false;
    pending.refuted(node);
    parts.merged(state);
    if (!wasAlive) found.add(node);
    if (previous !== undefined && previous !== incarnation) parts.lost(node);
    return true;
  }

  function applySuspicion(suspicion: GatewaySuspicion, from?: string): void {
    const { node, incarnation } = suspicion;
    if (node === self.node) {
      if (incarnation === self.incarnation) refute(suspicion, from);
      return;
    }
    const known = members.find(node);
    if (known?.state.incarnation !== incarnation) return;
    const item: PeerUpdate = { kind: 'suspicion', record: suspicion };
    if (from !== undefined) outbox.markKnown(item, from);
    if (known.suspectedAt !== undefined) return;
    if (known.state.sequence > suspicion.sequence) {
      if (from !== undefined) sendState(from, known.state);
      return;
    }
    if (parts.isResponsive(node)) {
      parts.send(node, packUpdates('news', [item]));
      return;
    }
    if (pending.add(suspicion, clock.now()) && from !== undefined) broadcast(item, from);
  }

  /** Refutes a suspicion by broadcasting a greater sequence. */
  function refute(suspicion: GatewaySuspicion, from: string | undefined): void {
    if (suspicion.sequence < sequence) {
      if (from !== undefined) sendState(from, ownState());
      return;
    }
    sequence = suspicion.sequence + 1;
    broadcast({ kind: 'state', record: ownState() });
  }

  function sendState(node: string, state: GatewayState): void {
    parts.send(node, packUpdates('news', [{ kind: 'state', record: state }]));
  }

  function suspect(state: GatewayState): void {
    const record = createSuspicion(state);
    if (markLost(record)) broadcast({ kind: 'suspicion', record });
  }

  function markLost(suspicion: GatewaySuspicion): boolean {
    const { node } = suspicion;
    if (!members.suspect(suspicion, clock.now())) return false;
    lost.add(node);
    parts.lost(node);
    return true;
  }

  function computeDigest(): number {
    const alive = members.alive();
    if (digest?.alive === alive && digest.sequence === sequence) return digest.value;
    let value = hashState(ownState());
    for (const state of alive) {
      value = (value + hashState(state)) >>> 0;
    }
    digest = { alive, sequence, value };
    return value;
  }

  return {
    members,
    ownState,
    publish,
    flush,
    introductionReceived(state) {
      applyState(state, state.node, true);
      notifySuspected(state.node);
    },
    applyUpdates,
    applyView,
    sendView,
    notifySuspected,
    suspect,
    expire(now) {
      for (const suspicion of pending.takeExpired(now)) {
        markLost(suspicion);
      }
      members.forget(now, RETENTION_MS);
    },
    digest: computeDigest,
    drainChanges() {
      const changes = { found: [...found], lost: [...lost] };
      found.clear();
      lost.clear();
      return changes;
    },
    close() {
      isClosed = true;
      flushTimer?.cancel();
    },
  };
}

function hashState({ node, incarnation, sequence }: GatewayState): number {
  return hashName(`${node}/${incarnation}/${sequence}`);
}

function createSuspicion({ node, incarnation, sequence }: GatewayState): GatewaySuspicion {
  return { node, incarnation, sequence };
}
