/**
 * The task that grants permits for the servers of one shard. It alone places requests there, so its
 * tally is exact; a router that was granted a permit speaks to the server itself.
 *
 * How old what it goes by may be:
 * - permits out: exact, but for messages under way; a lost one is mended by the next adoption
 *   (a second), after a grace of two;
 * - a server's state: half a second; a server that missed two answers gets nothing;
 * - load reports: read for nothing here; before an order the engine is asked afresh (`src/orders`);
 * - learned rates: halve every ten seconds without work, towards the engine's own word;
 * - cached prefixes: those granted here, less what late events take away; a gap in the events is
 *   made good by what answers say of cached tokens.
 */
import type {
  PermitAdoption,
  PermitAnswer,
  PermitProgress,
  PermitQuery,
  PermitRelease,
  ShardSummary,
} from '../links/index.js';
import type { Metrics } from '../metrics/index.js';
import { createDemandMeter, type ClassDemand } from '../planner/demand.js';
import type { CacheEvent, EngineState, ServiceState, Vm } from '../ports/index.js';
import type { Decisions } from '../settings/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { Forecast } from './admission.js';
import type { Chosen } from './choice.js';
import { isUsable, type Membership } from './eligibility.js';
import { createFairShare, type TeamCharge } from './fair-share.js';
import {
  learnFirstToken,
  learnHandover,
  learnOverdue,
  learnRelease,
  resolveServedTokens,
} from './feedback.js';
import {
  listHopeless,
  listLate,
  listOverdue,
  resolveLateMs,
  RETRY_AFTER_MS,
  type GivenUp,
} from './giving-up.js';
import { createAdopted, createGrant, resolvePermitId, resolvePrefillId } from './granting.js';
import { createLineFit } from './line-fit.js';
import { createOutputEstimate } from './output-estimate.js';
import { createFairQueue, type Lane, type Waiting } from './queue.js';
import { createRecentUse } from './recent-use.js';
import { createPermitRefusal, type RefusalReason } from './refusals.js';
import {
  addPermit,
  createServer,
  freeSlots,
  learnEngine,
  learnService,
  removePermit,
  tokensUncached,
  type GrantedPermit,
  type Guest,
  type Server,
} from './server.js';
import { createShardDecisions, findLeastUrgent, type Assignment } from './shard-decisions.js';
import { createWaitRecord } from './wait-record.js';

const TICK_EVERY_MS = 50;
const LEAST_RETRY_AFTER_MS = 100;
const MOST_RETRY_AFTER_MS = 30_000;
/** A permit younger than this may still be on its way to its router. */
const ADOPTION_GRACE_MS = 2_000;
/** Handover times assumed until one was seen, in milliseconds over tokens. */
const HANDOVER_ANCHORS = [
  { x: 0, y: 5 },
  { x: 4_096, y: 25 },
];

/** What a shard holder needs. */
export interface ShardHolderParts extends Membership {
  shard: string;
  node: string;
  fence: number;
  kind: 'model-engine' | 'plain-service';
  clock: Clock;
  metrics: Metrics;
  decisions: Decisions;
  /** Most requests that may wait. */
  maxQueue: number;
  createId(): string;
  /** Whether this node's lease is valid; requests that may not be repeated need it. */
  isLeaseValid(): boolean;
}

/** The holder of one shard. */
export interface ShardHolder {
  ask(node: string, query: PermitQuery): Promise<PermitAnswer>;
  progress(progress: PermitProgress): void;
  release(release: PermitRelease): void;
  cancel(node: string, requestId: string, attempt: number): void;
  adopt(adoption: PermitAdoption): void;
  /** A node is gone; its permits are no longer in use. */
  forgetNode(node: string): void;
  setVms(vms: readonly Vm[]): void;
  updateEngine(state: EngineState): void;
  updateService(state: ServiceState): void;
  applyCacheEvents(server: string, events: readonly CacheEvent[]): void;
  /** A server did not answer. */
  recordMissedAnswer(server: string): void;
  /** Keeps a server free of new work, for an order. */
  holdForOrder(server: string, held: boolean): void;
  /** Permits out on a server; 0 for one that the shard does not have. */
  permitsOn(server: string): number;
  servers(): Server[];
  /** Mean demand for a group over the last `horizonMs`, by class; refused requests included. */
  demand(group: string, horizonMs: number): ClassDemand[];
  summary(): ShardSummary;
  /** Refuses everyone who waits; the shard is no longer held here. */
  stop(): void;
}

/**
 * Creates the holder of a shard.
 *
 * @param parts the shard's identity and what the decisions depend on
 */
export function createShardHolder(parts: ShardHolderParts): ShardHolder {
  const { shard, node, fence, clock, metrics, decisions: switches } = parts;
  const servers = new Map<string, Server>();
  const share = createFairShare();
  const queue = createFairQueue({ share, isFair: switches.fairness });
  const recent = createRecentUse();
  const waits = createWaitRecord();
  const lengths = createOutputEstimate();
  const demand = createDemandMeter(clock.now());
  const handoverMs = createLineFit(HANDOVER_ANCHORS);
  const decisions = createShardDecisions({
    decisions: switches,
    membership: parts,
    servers,
    queue,
    share,
    waits,
    handoverMs,
  });
  let sequence = 0;
  let stopped = false;
  let tick: Timer | undefined;
  let usable = 0;

  function ask(asker: string, query: PermitQuery): Promise<PermitAnswer> {
    if (stopped) return Promise.resolve(refuse('lost'));
    if (!query.repeatable && !parts.isLeaseValid()) {
      return Promise.resolve(refuse('no-claims', RETRY_AFTER_MS));
    }
    const wish = withLearnedLength(query);
    const candidates = decisions.candidates(wish);
    if (candidates.length === 0) return Promise.resolve(refuse('no-server', RETRY_AFTER_MS));
    const now = clock.now();
    const guest = createGuest(wish, candidates, now);
    if (wish.attempt === 1) noteDemand(wish, candidates, now);
    const assignment = decisions.assign(guest, candidates, now);
    const refusal = refuseLate(guest, assignment.forecast) ?? refuseFull(wish.team);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      enqueue(createWaiting(asker, guest, assignment, now, resolve), assignment.server);
      dispatch();
    });
  }

  function createGuest(query: PermitQuery, candidates: readonly Server[], now: number): Guest {
    const isLong = decisions.isLong(query, candidates, now);
    const isBeyondShare = switches.fairness && recent.isBeyondShare(query.team, now);
    return { query, isLong, isBeyondShare };
  }

  function charge(charged: TeamCharge): void {
    queue.charge(charged);
    recent.add(charged, clock.now());
  }

  function noteDemand(query: PermitQuery, candidates: readonly Server[], now: number): void {
    let promptTokens = query.promptTokens;
    for (const server of candidates) {
      promptTokens = Math.min(promptTokens, tokensUncached(server, query));
    }
    const { group, class: name, expectedOutputTokens: outputTokens } = query;
    demand.add({ group, class: name, promptTokens, outputTokens }, now);
  }

  function withLearnedLength(query: PermitQuery): PermitQuery {
    if (parts.kind === 'plain-service' || query.attempt > 1) return query;
    const expected = lengths.expect(query, query.expectedOutputTokens);
    const most = query.maxOutputTokens ?? expected;
    return { ...query, expectedOutputTokens: Math.max(1, Math.min(expected, most)) };
  }

  function createWaiting(
    asker: string,
    guest: Guest,
    { server, toRead, forecast }: Assignment,
    now: number,
    answer: (answer: PermitAnswer) => void,
  ): Waiting {
    const { query, isLong, isBeyondShare } = guest;
    const firstTokenBy = now + query.firstTokenInMs;
    const readMs = switches.admission ? forecast.readMs : 0;
    return {
      query,
      node: asker,
      since: now,
      firstTokenBy,
      startBy: Math.max(now, firstTokenBy - readMs),
      isLong,
      isBeyondShare,
      expectedWaitMs: forecast.waitMs,
      toRead,
      server: server?.vm.id,
      answer,
    };
  }

  function enqueue(waiting: Waiting, server: Server | undefined): void {
    server?.plannedPrefixes.add(waiting.query.prefixes);
    queue.add(waiting);
  }

  /** The server that a request waited for no longer takes it. */
  function reassign(waiting: Waiting): void {
    queue.remove(waiting);
    const candidates = decisions.candidates(waiting.query);
    const { server, toRead } = decisions.assign(waiting, candidates, clock.now());
    waiting.server = server?.vm.id;
    waiting.toRead = toRead;
    enqueue(waiting, server);
  }

  function refuse(reason: RefusalReason, retryAfterMs?: number): PermitAnswer {
    if (retryAfterMs === undefined) return createPermitRefusal(node, reason);
    const bounded = Math.max(LEAST_RETRY_AFTER_MS, Math.min(MOST_RETRY_AFTER_MS, retryAfterMs));
    return createPermitRefusal(node, reason, bounded);
  }

  function refuseLate({ query }: Guest, forecast: Forecast): PermitAnswer | undefined {
    if (!switches.admission) return undefined;
    const lateMs = resolveLateMs(query, forecast);
    if (lateMs <= 0) return undefined;
    if (lateMs > forecast.waitMs) return refuse('never-in-time', RETRY_AFTER_MS);
    return refuse('too-late', lateMs);
  }

  /** A full queue makes room at the cost of the team that has most waiting for its weight. */
  function refuseFull(team: string): PermitAnswer | undefined {
    if (queue.size() < parts.maxQueue) return undefined;
    const longest = decisions.longestQueue();
    if (longest === undefined || longest.team === team) return refuse('queue-full', waits.turnMs());
    const last = findLeastUrgent(longest);
    if (last !== undefined) giveUp(last, 'queue-full', waits.turnMs());
    return undefined;
  }

  function giveUp(waiting: Waiting, reason: RefusalReason, retryAfterMs?: number): void {
    if (!queue.remove(waiting)) return;
    const waitedMs = clock.now() - waiting.since;
    if (reason === 'not-in-time') {
      waits.observeWait(waiting.isLong, waiting.expectedWaitMs, waitedMs);
    }
    waiting.answer(refuse(reason, retryAfterMs));
  }

  /** Grants as long as the first in turn of any lane finds room. */
  function dispatch(): void {
    if (stopped) return;
    const blocked = new Set<Lane>();
    for (;;) {
      const head = queue.first(blocked);
      if (head === undefined) break;
      const { waiting, lane } = head;
      const now = clock.now();
      const chosen = decisions.place(waiting, now);
      if (chosen !== undefined) grant(waiting, chosen);
      else if (decisions.isServed(waiting, now)) blocked.add(lane);
      else reassign(waiting);
    }
    takeOver();
    updateMetrics();
    scheduleTick();
  }

  /** Servers with nothing to do take from the queues of others what gains by it. */
  function takeOver(): void {
    for (;;) {
      const taken = decisions.takeOver(clock.now());
      if (taken === undefined) return;
      grant(taken.waiting, taken.chosen);
    }
  }

  function grant(waiting: Waiting, chosen: Chosen): void {
    const { query } = waiting;
    const { team, weight } = query;
    const now = clock.now();
    const { isBeyondShare } = waiting;
    const terms = { permitId: parts.createId(), shard, fence, now, isBeyondShare };
    const { permit, granted, prefill } = createGrant(waiting, chosen, terms);
    waits.observeWait(waiting.isLong, waiting.expectedWaitMs, permit.waitedMs);
    charge({ team, weight, tokens: granted.charged });
    queue.remove(waiting);
    addPermit(chosen.server, granted);
    const reader = chosen.prefill ?? chosen.server;
    if (prefill !== undefined) addPermit(reader, prefill);
    waiting.answer({ kind: 'permit.granted', permit });
  }

  function scheduleTick(): void {
    if (tick !== undefined || stopped || !isActive()) return;
    tick = clock.after(TICK_EVERY_MS, () => {
      tick = undefined;
      step();
    });
  }

  function isActive(): boolean {
    if (queue.size() > 0) return true;
    for (const { readers } of servers.values()) {
      if (readers.size > 0) return true;
    }
    return false;
  }

  function step(): void {
    const now = clock.now();
    for (const server of servers.values()) learnOverdue(server, now);
    giveUpAll(listOverdue(queue, now));
    giveUpAll(listHopeless(queue, decisions));
    const usableNow = countUsable();
    if (usableNow < usable && switches.admission) giveUpAll(listLate(queue, decisions, now));
    usable = usableNow;
    dispatch();
  }

  /** Whoever can no longer be on time hears so at once. */
  function giveUpAll(found: Iterable<GivenUp>): void {
    for (const { waiting, reason, retryAfterMs } of found) {
      giveUp(waiting, reason, retryAfterMs);
    }
  }

  function countUsable(): number {
    let count = 0;
    for (const server of servers.values()) {
      if (isUsable(server, parts)) count += 1;
    }
    return count;
  }

  function updateMetrics(): void {
    sequence += 1;
    let out = 0;
    for (const server of servers.values()) {
      out += server.permits.size;
    }
    metrics.permitsOut.set({ shard }, out);
    metrics.permitsWaiting.set({ shard }, queue.size());
  }

  function endPrefill(permit: GrantedPermit, prefillMs: number | undefined): void {
    const reader = servers.get(permit.prefillServer ?? '');
    const reading = reader?.permits.get(resolvePrefillId(permit.permitId));
    if (reader === undefined || reading === undefined) return;
    if (prefillMs !== undefined) learnFirstToken(reader, reading, prefillMs, clock.now());
    removePermit(reader, reading.permitId);
  }

  /** Permits of a node that it no longer uses, granted long enough ago for it to have heard. */
  function dropUnused(user: string, inUse: ReadonlySet<string>): void {
    const heardBefore = clock.now() - ADOPTION_GRACE_MS;
    for (const server of servers.values()) {
      for (const permit of [...server.permits.values()]) {
        if (permit.node !== user || inUse.has(resolvePermitId(permit.permitId))) continue;
        if (permit.grantedAt <= heardBefore) removePermit(server, permit.permitId);
      }
    }
    dispatch();
  }

  return {
    ask,
    progress(progress) {
      const server = servers.get(progress.server);
      const permit = server?.permits.get(progress.permitId);
      if (server === undefined || permit === undefined) return;
      const now = clock.now();
      learnFirstToken(server, permit, progress.firstTokenMs, now);
      learnHandover(handoverMs, permit, progress, now);
      endPrefill(permit, progress.prefillMs);
      dispatch();
    },
    release(release) {
      const server = servers.get(release.server);
      const permit = server?.permits.get(release.permitId);
      if (server === undefined || permit === undefined) return;
      const now = clock.now();
      const { team, weight, charged } = permit;
      learnRelease(server, permit, release, now);
      if (release.result === 'answered' && permit.isFirstAttempt) {
        lengths.observe(permit, release.outputTokens);
      }
      waits.observeEnd(now);
      endPrefill(permit, undefined);
      removePermit(server, permit.permitId);
      charge({ team, weight, tokens: resolveServedTokens(release, server) - charged });
      dispatch();
    },
    cancel(asker, requestId, attempt) {
      const waiting = queue.find({ node: asker, requestId, attempt });
      if (waiting !== undefined) giveUp(waiting, 'withdrawn');
    },
    adopt(adoption) {
      const inUse = new Set<string>();
      for (const adopted of adoption.permits) {
        inUse.add(adopted.permitId);
        const server = servers.get(adopted.server);
        if (server === undefined) continue;
        addPermit(server, createAdopted(adopted, adoption.node, server, clock.now()));
      }
      dropUnused(adoption.node, inUse);
    },
    forgetNode(gone) {
      dropUnused(gone, new Set());
    },
    setVms(vms) {
      const listed = new Set<string>();
      for (const vm of vms) {
        listed.add(vm.id);
        const known = servers.get(vm.id);
        if (known === undefined) servers.set(vm.id, createServer(vm));
        else known.vm = vm;
      }
      for (const id of servers.keys()) {
        if (!listed.has(id)) servers.delete(id);
      }
      dispatch();
    },
    updateEngine(state) {
      const server = servers.get(state.id);
      if (server === undefined) return;
      learnEngine(server, state);
      dispatch();
    },
    updateService(state) {
      const server = servers.get(state.id);
      if (server === undefined) return;
      learnService(server, state);
      dispatch();
    },
    applyCacheEvents(id, events) {
      const server = servers.get(id);
      if (server === undefined) return;
      for (const { kind, prefixes } of events) {
        for (const index of [server.prefixes, server.plannedPrefixes]) {
          if (kind === 'removed') index.remove(prefixes);
          if (kind === 'cleared') index.clear();
        }
      }
    },
    recordMissedAnswer(id) {
      const server = servers.get(id);
      if (server !== undefined) server.silences += 1;
    },
    holdForOrder(id, isHeld) {
      const server = servers.get(id);
      if (server === undefined) return;
      server.heldForOrder = isHeld;
      if (!isHeld) dispatch();
    },
    permitsOn: (id) => servers.get(id)?.permits.size ?? 0,
    servers: () => [...servers.values()],
    demand: (group, horizonMs) => demand.read(group, horizonMs, clock.now()),
    summary() {
      const summaries = [];
      for (const server of servers.values()) {
        const free = isUsable(server, parts) ? Math.max(0, freeSlots(server)) : 0;
        summaries.push({ id: server.vm.id, free, role: server.role });
      }
      return { shard, holder: node, fence, sequence, waiting: queue.size(), servers: summaries };
    },
    stop() {
      stopped = true;
      tick?.cancel();
      for (const waiting of [...queue.waiting()]) giveUp(waiting, 'lost');
    },
  };
}
