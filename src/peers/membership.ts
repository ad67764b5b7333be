/**
 * What a gateway believes of the others, and how beliefs spread: its own state, the states that it has
 * heard, and who is suspected. News goes from partner to partner, once over each link; a suspicion is
 * acted on by others once nobody has refuted it in time. Whose silence is noticed, and on which links
 * anything is sent, is decided elsewhere.
 */
import { createMembers, createOutbox, hashName, type Members } from '../gossip/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { GatewayState, GatewaySuspicion, PeerMessage } from './messages.js';
import { packUpdates, peerUpdateOrder, type PeerUpdate } from './updates.js';
import { createPendingSuspicions } from './pending-suspicions.js';

/** News that arrives within this time is passed on together, in ms. */
const GATHER_MS = 20;
/** Suspected gateways are forgotten after so long, in ms. */
const FORGET_MS = 60_000;

/** What a gateway says of itself when it changes. */
export type OwnStatus = Pick<GatewayState, 'isReady' | 'isFollowing'>;

/** A gateway as it is known from its start. */
export type OwnIdentity = Omit<GatewayState, 'sequence' | keyof OwnStatus>;

/** What beliefs need. */
export interface GatewayMembershipParts {
  clock: Clock;
  self: OwnIdentity;
  status(): OwnStatus;
  /** Names of the partners at the moment. */
  partners(): readonly string[];
  /** Whether a peer was heard on a link of its own a moment ago. */
  isResponsive(node: string): boolean;
  send(node: string, message: PeerMessage): void;
  /** A peer is believed lost, or another incarnation has taken its place. */
  lost(node: string): void;
  /** A state of a peer was taken in. */
  merged(state: GatewayState): void;
}

/** Names of peers found and lost since the last look. */
export interface MembershipChanges {
  found: string[];
  lost: string[];
}

/** The beliefs of a gateway. */
export interface GatewayMembership {
  members: Pick<Members<GatewayState>, 'alive' | 'suspected' | 'find' | 'isAlive'>;
  ownState: () => GatewayState;
  /** Tells all others if this gateway's status has changed. */
  publish: () => void;
  /** Sends what partners have yet to hear. */
  flush: () => void;
  /** A peer introduced itself. */
  introductionReceived(state: GatewayState): void;
  /** Takes in news of a partner, which is passed on. */
  applyUpdates(news: PeerMessage & { kind: 'news' }, from: string): void;
  /** Takes in all that a peer believes. It is not passed on: whoever lacks it asks as well. */
  applyView(view: PeerMessage & { kind: 'view' }): void;
  /** Sends a peer all that is believed here. */
  sendView(node: string): void;
  /** Tells a peer that is heard though it is suspected; it then refutes the suspicion for all. */
  notifySuspected: (node: string) => void;
  /** This gateway has found a peer silent. */
  suspect(state: GatewayState): void;
  /** Believes suspicions that nobody has refuted in time, and forgets what is long past. */
  expire(now: number): void;
  /** A number that is the same in all gateways that believe the same. */
  digest: () => number;
  drainChanges(): MembershipChanges;
  /** Ends what waits to be sent. */
  close(): void;
}

/**
 * Creates the beliefs of a gateway that knows nobody.
 *
 * @param parts who it is and how it reaches others
 */
export function createGatewayMembership(parts: GatewayMembershipParts): GatewayMembership {
  const { clock, self } = parts;
  const members = createMembers<GatewayState>();
  const outbox = createOutbox<PeerUpdate>(() => parts.partners(), peerUpdateOrder);
  const pending = createPendingSuspicions();
  const found = new Set<string>();
  const lost = new Set<string>();
  let digest: { of: readonly GatewayState[]; sequence: number; value: number } | undefined;
  let sequence = 1;
  let told: OwnStatus = { isReady: false, isFollowing: false };
  let flushTimer: Timer | undefined;
  let isClosed = false;

  function ownState(): GatewayState {
    return { ...self, sequence, ...told };
  }

  function publish(): void {
    const { isReady, isFollowing } = parts.status();
    if (isReady === told.isReady && isFollowing === told.isFollowing) return;
    told = { isReady, isFollowing };
    sequence += 1;
    tell({ kind: 'state', record: ownState() });
  }

  function tell(item: PeerUpdate, from?: string): void {
    outbox.add(item, from);
    if (isClosed) return;
    flushTimer ??= clock.after(GATHER_MS, flush);
  }

  function flush(): void {
    flushTimer?.cancel();
    flushTimer = undefined;
    for (const partner of parts.partners()) {
      const items = outbox.take(partner);
      if (items.length > 0) parts.send(partner, packUpdates('news', items));
    }
  }

  function challenge(node: string): void {
    const known = members.find(node);
    if (known?.suspectedAt === undefined) return;
    const record = resolveSuspicion(known.state);
    parts.send(node, packUpdates('news', [{ kind: 'suspicion', record }]));
  }

  function takeNews(news: PeerMessage & { kind: 'news' }, from: string): void {
    for (const state of news.states) {
      takeState(state, from);
    }
    for (const suspicion of news.suspicions) {
      takeSuspicion(suspicion, from);
    }
  }

  function takeView({ states, suspicions }: PeerMessage & { kind: 'view' }): void {
    for (const state of states) {
      if (state.node !== self.node) learn(state, false);
    }
    for (const suspicion of suspicions) {
      takeSuspicion(suspicion);
    }
  }

  function sendView(node: string): void {
    const items: PeerUpdate[] = [{ kind: 'state', record: ownState() }];
    for (const { state, suspectedAt } of members.all()) {
      if (suspectedAt === undefined) items.push({ kind: 'state', record: state });
      else items.push({ kind: 'suspicion', record: resolveSuspicion(state) });
    }
    parts.send(node, packUpdates('view', items));
  }

  function takeState(state: GatewayState, from: string, isOwnWord = false): void {
    if (state.node === self.node) {
      // whoever takes an earlier process for this one is told of this one
      if (state.incarnation !== self.incarnation) tell({ kind: 'state', record: ownState() });
      return;
    }
    const item: PeerUpdate = { kind: 'state', record: state };
    if (learn(state, isOwnWord)) tell(item, from);
    else outbox.markKnown(item, from);
  }

  function learn(state: GatewayState, isOwnWord: boolean): boolean {
    const { node, incarnation } = state;
    const known = members.find(node);
    const before = known?.state.incarnation;
    const wasAlive = members.isAlive(node);
    if (!members.merge(state, isOwnWord)) return false;
    pending.refuted(node);
    parts.merged(state);
    if (!wasAlive) found.add(node);
    if (before !== undefined && before !== incarnation) parts.lost(node);
    return true;
  }

  function takeSuspicion(suspicion: GatewaySuspicion, from?: string): void {
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
      if (from !== undefined) answer(from, known.state);
      return;
    }
    if (parts.isResponsive(node)) {
      parts.send(node, packUpdates('news', [item]));
      return;
    }
    if (pending.add(suspicion, clock.now()) && from !== undefined) tell(item, from);
  }

  /** A greater sequence, told to all, refutes the suspicion. */
  function refute(suspicion: GatewaySuspicion, from: string | undefined): void {
    if (suspicion.sequence < sequence) {
      if (from !== undefined) answer(from, ownState());
      return;
    }
    sequence = suspicion.sequence + 1;
    tell({ kind: 'state', record: ownState() });
  }

  /** Tells one peer what it has missed. */
  function answer(node: string, state: GatewayState): void {
    parts.send(node, packUpdates('news', [{ kind: 'state', record: state }]));
  }

  function suspect(state: GatewayState): void {
    const record = resolveSuspicion(state);
    if (believeLost(record)) tell({ kind: 'suspicion', record });
  }

  function believeLost(suspicion: GatewaySuspicion): boolean {
    const { node } = suspicion;
    if (!members.suspect(suspicion, clock.now())) return false;
    lost.add(node);
    parts.lost(node);
    return true;
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

  return {
    members,
    ownState,
    publish,
    flush,
    introductionReceived(state) {
      takeState(state, state.node, true);
      challenge(state.node);
    },
    applyUpdates: takeNews,
    applyView: takeView,
    sendView,
    notifySuspected: challenge,
    suspect,
    expire(now) {
      for (const suspicion of pending.takeExpired(now)) {
        believeLost(suspicion);
      }
      members.forget(now, FORGET_MS);
    },
    digest: resolveDigest,
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

function resolveSuspicion({ node, incarnation, sequence }: GatewayState): GatewaySuspicion {
  return { node, incarnation, sequence };
}
