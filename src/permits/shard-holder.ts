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
import type { LatencyEstimate } from './admission.js';
import type { ServerChoice } from './choice.js';
import { isUsable, type GroupMembership } from './eligibility.js';
import { createFairShare, type TeamCharge } from './fair-share.js';
import {
  recordFirstToken,
  recordHandover,
  recordOverdue,
  recordRelease,
  resolveServedTokens,
} from './feedback.js';
import {
  listUnservable,
  listLate,
  listExpired,
  resolveLatenessMs,
  RETRY_AFTER_MS,
  type ShedRequest,
} from './shedding.js';
import { createAdoptedPermit, createGrant, resolvePermitId, resolvePrefillId } from './granting.js';
import { createLineFit } from './line-fit.js';
import { createOutputEstimate } from './output-estimate.js';
import { createFairQueue, type Subqueue, type WaitingRequest } from './queue.js';
import { createRecentUse } from './recent-use.js';
import { createPermitRefusal, type RefusalReason } from './refusals.js';
import {
  addPermit,
  createServer,
  countFreeSlots,
  applyEngineState,
  applyServiceState,
  removePermit,
  countUncachedTokens,
  type GrantedPermit,
  type ClassifiedRequest,
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
export interface ShardHolderParts extends GroupMembership {
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
    const request = createGuest(wish, candidates, now);
    if (wish.attempt === 1) noteDemand(wish, candidates, now);
    const assignment = decisions.assign(request, candidates, now);
    const refusal = refuseLate(request, assignment.estimate) ?? refuseFull(wish.team);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      enqueue(createWaiting(asker, request, assignment, now, resolve), assignment.server);
      dispatch();
    });
  }

  function createGuest(
    query: PermitQuery,
    candidates: readonly Server[],
    now: number,
  ): ClassifiedRequest {
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
      promptTokens = Math.min(promptTokens, countUncachedTokens(server, query));
    }
    const { group, class: name, expectedOutputTokens: outputTokens } = query;
    demand.add({ group, class: name, promptTokens, outputTokens }, now);
  }

  function withLearnedLength(query: PermitQuery): PermitQuery {
    if (parts.kind === 'plain-service' || query.attempt > 1) return query;
    const expected = lengths.estimate(query, query.expectedOutputTokens);
    const most = query.maxOutputTokens ?? expected;
    return { ...query, expectedOutputTokens: Math.max(1, Math.min(expected, most)) };
  }

  function createWaiting(
    asker: string,
    request: ClassifiedRequest,
    { server, uncachedTokens, estimate: forecast }: Assignment,
    now: number,
    answer: (answer: PermitAnswer) => void,
  ): WaitingRequest {
    const { query, isLong, isBeyondShare } = request;
    const firstTokenDeadline = now + query.firstTokenInMs;
    const readMs = switches.admission ? forecast.prefillMs : 0;
    return {
      query,
      node: asker,
      arrivedAt: now,
      firstTokenDeadline: firstTokenDeadline,
      latestGrantAt: Math.max(now, firstTokenDeadline - readMs),
      isLong,
      isBeyondShare,
      expectedWaitMs: forecast.queueingMs,
      uncachedTokens: uncachedTokens,
      server: server?.vm.id,
      answer,
    };
  }

  function enqueue(waiting: WaitingRequest, server: Server | undefined): void {
    server?.plannedPrefixes.add(waiting.query.prefixes);
    queue.add(waiting);
  }

  /** The server that a request waited for no longer takes it. */
  function reassign(waiting: WaitingRequest): void {
    queue.remove(waiting);
    const candidates = decisions.candidates(waiting.query);
    const { server, uncachedTokens } = decisions.assign(waiting, candidates, clock.now());
    waiting.server = server?.vm.id;
    waiting.uncachedTokens = uncachedTokens;
    enqueue(waiting, server);
  }

  function refuse(reason: RefusalReason, retryAfterMs?: number): PermitAnswer {
    if (retryAfterMs === undefined) return createPermitRefusal(node, reason);
    const bounded = Math.max(LEAST_RETRY_AFTER_MS, Math.min(MOST_RETRY_AFTER_MS, retryAfterMs));
    return createPermitRefusal(node, reason, bounded);
  }

  function refuseLate(
    { query }: ClassifiedRequest,
    forecast: LatencyEstimate,
  ): PermitAnswer | undefined {
    if (!switches.admission) return undefined;
    const lateMs = resolveLatenessMs(query, forecast);
    if (lateMs <= 0) return undefined;
    if (lateMs > forecast.queueingMs) return refuse('never-in-time', RETRY_AFTER_MS);
    return refuse('too-late', lateMs);
  }

  /** A full queue makes room at the cost of the team that has most waiting for its weight. */
  function refuseFull(team: string): PermitAnswer | undefined {
    if (queue.size() < parts.maxQueue) return undefined;
    const longest = decisions.longestQueue();
    if (longest === undefined || longest.team === team)
      return refuse('queue-full', waits.releaseIntervalMs());
    const last = findLeastUrgent(longest);
    if (last !== undefined) giveUp(last, 'queue-full', waits.releaseIntervalMs());
    return undefined;
  }

  function giveUp(waiting: WaitingRequest, reason: RefusalReason, retryAfterMs?: number): void {
    if (!queue.remove(waiting)) return;
    const waitedMs = clock.now() - waiting.arrivedAt;
    if (reason === 'not-in-time') {
      waits.observeWait(waiting.isLong, waiting.expectedWaitMs, waitedMs);
    }
    waiting.answer(refuse(reason, retryAfterMs));
  }

  /** Grants as long as the first in turn of any subqueue finds room. */
  function dispatch(): void {
    if (stopped) return;
    const blocked = new Set<Subqueue>();
    for (;;) {
      const head = queue.first(blocked);
      if (head === undefined) break;
      const { waiting, subqueue } = head;
      const now = clock.now();
      const chosen = decisions.place(waiting, now);
      if (chosen !== undefined) grant(waiting, chosen);
      else if (decisions.isAssignmentValid(waiting, now)) blocked.add(subqueue);
      else reassign(waiting);
    }
    takeOver();
    updateMetrics();
    scheduleTick();
  }

  /** Servers with nothing to do take from the queues of others what gains by it. */
  function takeOver(): void {
    for (;;) {
      const taken = decisions.steal(clock.now());
      if (taken === undefined) return;
      grant(taken.waiting, taken.choice);
    }
  }

  function grant(waiting: WaitingRequest, chosen: ServerChoice): void {
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
    for (const { prefilling: readers } of servers.values()) {
      if (readers.size > 0) return true;
    }
    return false;
  }

  function step(): void {
    const now = clock.now();
    for (const server of servers.values()) recordOverdue(server, now);
    giveUpAll(listExpired(queue, now));
    giveUpAll(listUnservable(queue, decisions));
    const usableNow = countUsable();
    if (usableNow < usable && switches.admission) giveUpAll(listLate(queue, decisions, now));
    usable = usableNow;
    dispatch();
  }

  /** Whoever can no longer be on time hears so at once. */
  function giveUpAll(found: Iterable<ShedRequest>): void {
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
    if (prefillMs !== undefined) recordFirstToken(reader, reading, prefillMs, clock.now());
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
      recordFirstToken(server, permit, progress.firstTokenMs, now);
      recordHandover(handoverMs, permit, progress, now);
      endPrefill(permit, progress.prefillMs);
      dispatch();
    },
    release(release) {
      const server = servers.get(release.server);
      const permit = server?.permits.get(release.permitId);
      if (server === undefined || permit === undefined) return;
      const now = clock.now();
      const { team, weight, charged } = permit;
      recordRelease(server, permit, release, now);
      if (release.result === 'answered' && permit.isFirstAttempt) {
        lengths.observe(permit, release.outputTokens);
      }
      waits.observeRelease(now);
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
        addPermit(server, createAdoptedPermit(adopted, adoption.node, server, clock.now()));
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
      applyEngineState(server, state);
      dispatch();
    },
    updateService(state) {
      const server = servers.get(state.id);
      if (server === undefined) return;
      applyServiceState(server, state);
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
      if (server !== undefined) server.missedAnswers += 1;
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
        const free = isUsable(server, parts) ? Math.max(0, countFreeSlots(server)) : 0;
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
