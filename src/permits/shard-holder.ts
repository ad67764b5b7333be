/**
 * Grants permits for the servers of one shard. As the only one to place requests there, the holder
 * has an exact count of them; a router with a permit calls the server itself.
 *
 * Staleness of the state that decisions depend on:
 * - permits: exact apart from messages in flight; a lost release is corrected by the next adoption
 *   (every second), after a grace period of 2 s;
 * - server state: 0.5 s; a server that missed two answers gets no work;
 * - load reports: not used; before an order the engine's load is read anew (`src/orders`);
 * - learned rates: measurements have a half-life of 10 s, beyond which the reported rates apply;
 * - cached prefixes: those of prompts prefilled under permits, less those in cache events, which are
 *   late and may be lost; charges are corrected by the cached tokens that releases report.
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
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;
/** The message that grants a permit younger than this may not have reached its router yet. */
const ADOPTION_GRACE_MS = 2_000;
/** Handover times without measurements, in milliseconds by prompt tokens. */
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
  /** Maximum number of waiting requests. */
  maxQueue: number;
  createId(): string;
  /** Whether this node's lease is valid; non-repeatable requests are refused without it. */
  isLeaseValid(): boolean;
}

/** The holder of one shard. */
export interface ShardHolder {
  /** Resolves when the permit is granted or refused. */
  ask(node: string, query: PermitQuery): Promise<PermitAnswer>;
  progress(progress: PermitProgress): void;
  release(release: PermitRelease): void;
  cancel(node: string, requestId: string, attempt: number): void;
  adopt(adoption: PermitAdoption): void;
  /** Removes the permits of a node that is gone. */
  forgetNode(node: string): void;
  setVms(vms: readonly Vm[]): void;
  updateEngine(state: EngineState): void;
  updateService(state: ServiceState): void;
  applyCacheEvents(server: string, events: readonly CacheEvent[]): void;
  recordMissedAnswer(server: string): void;
  /** Stops or resumes granting permits on a server, for an order. */
  holdForOrder(server: string, held: boolean): void;
  /** Number of permits on a server; 0 for a server outside the shard. */
  permitsOn(server: string): number;
  servers(): Server[];
  /** Mean demand for a group over the last `horizonMs`, by class; refused requests included. */
  demand(group: string, horizonMs: number): ClassDemand[];
  summary(): ShardSummary;
  /** Refuses all waiting requests because the shard is no longer held here. */
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
  const recentUse = createRecentUse();
  const waits = createWaitRecord();
  const outputEstimate = createOutputEstimate();
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
  let previousCount = 0;

  function ask(asker: string, query: PermitQuery): Promise<PermitAnswer> {
    if (stopped) return Promise.resolve(refuse('lost'));
    if (!query.repeatable && !parts.isLeaseValid()) {
      return Promise.resolve(refuse('no-claims', RETRY_AFTER_MS));
    }
    const sized = withEstimatedOutput(query);
    const candidates = decisions.candidates(sized);
    if (candidates.length === 0) return Promise.resolve(refuse('no-server', RETRY_AFTER_MS));
    const now = clock.now();
    const request = classify(sized, candidates, now);
    if (sized.attempt === 1) recordDemand(sized, candidates, now);
    const assignment = decisions.assign(request, candidates, now);
    const refusal = refuseLate(request, assignment.estimate) ?? refuseFull(sized.team);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      enqueue(createWaiting(asker, request, assignment, now, resolve), assignment.server);
      dispatch();
    });
  }

  function classify(
    query: PermitQuery,
    candidates: readonly Server[],
    now: number,
  ): ClassifiedRequest {
    const isLong = decisions.isLong(query, candidates, now);
    const isBeyondShare = switches.fairness && recentUse.isBeyondShare(query.team, now);
    return { query, isLong, isBeyondShare };
  }

  function charge(charged: TeamCharge): void {
    queue.charge(charged);
    recentUse.add(charged, clock.now());
  }

  function recordDemand(query: PermitQuery, candidates: readonly Server[], now: number): void {
    let promptTokens = query.promptTokens;
    for (const server of candidates) {
      promptTokens = Math.min(promptTokens, countUncachedTokens(server, query));
    }
    const { group, class: name, expectedOutputTokens: outputTokens } = query;
    demand.add({ group, class: name, promptTokens, outputTokens }, now);
  }

  function withEstimatedOutput(query: PermitQuery): PermitQuery {
    if (parts.kind === 'plain-service' || query.attempt > 1) return query;
    const expected = outputEstimate.estimate(query, query.expectedOutputTokens);
    const maxTokens = query.maxOutputTokens ?? expected;
    return { ...query, expectedOutputTokens: Math.max(1, Math.min(expected, maxTokens)) };
  }

  function createWaiting(
    asker: string,
    request: ClassifiedRequest,
    { server, uncachedTokens, estimate }: Assignment,
    now: number,
    answer: (answer: PermitAnswer) => void,
  ): WaitingRequest {
    const { query, isLong, isBeyondShare } = request;
    const firstTokenDeadline = now + query.firstTokenInMs;
    const prefillMs = switches.admission ? estimate.prefillMs : 0;
    return {
      query,
      node: asker,
      arrivedAt: now,
      firstTokenDeadline,
      latestGrantAt: Math.max(now, firstTokenDeadline - prefillMs),
      isLong,
      isBeyondShare,
      expectedWaitMs: estimate.queueingMs,
      uncachedTokens,
      server: server?.vm.id,
      answer,
    };
  }

  function enqueue(waiting: WaitingRequest, server: Server | undefined): void {
    server?.plannedPrefixes.add(waiting.query.prefixes);
    queue.add(waiting);
  }

  /** Assigns a waiting request anew after its server became unavailable. */
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
    const bounded = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, retryAfterMs));
    return createPermitRefusal(node, reason, bounded);
  }

  function refuseLate(
    { query }: ClassifiedRequest,
    estimate: LatencyEstimate,
  ): PermitAnswer | undefined {
    if (!switches.admission) return undefined;
    const latenessMs = resolveLatenessMs(query, estimate);
    if (latenessMs <= 0) return undefined;
    if (latenessMs > estimate.queueingMs) return refuse('never-in-time', RETRY_AFTER_MS);
    return refuse('too-late', latenessMs);
  }

  /** If the queue is full, a request of the team with the longest queue for its weight is refused. */
  function refuseFull(team: string): PermitAnswer | undefined {
    if (queue.size() < parts.maxQueue) return undefined;
    const longest = decisions.longestQueue();
    if (longest === undefined || longest.team === team)
      return refuse('queue-full', waits.releaseIntervalMs());
    const last = findLeastUrgent(longest);
    if (last !== undefined) refuseWaiting(last, 'queue-full', waits.releaseIntervalMs());
    return undefined;
  }

  function refuseWaiting(
    waiting: WaitingRequest,
    reason: RefusalReason,
    retryAfterMs?: number,
  ): void {
    if (!queue.remove(waiting)) return;
    const waitedMs = clock.now() - waiting.arrivedAt;
    if (reason === 'not-in-time') {
      waits.observeWait(waiting.isLong, waiting.expectedWaitMs, waitedMs);
    }
    waiting.answer(refuse(reason, retryAfterMs));
  }

  /** Grants permits until no first request of a subqueue finds room. */
  function dispatch(): void {
    if (stopped) return;
    const blocked = new Set<Subqueue>();
    for (;;) {
      const head = queue.first(blocked);
      if (head === undefined) break;
      const { waiting, subqueue } = head;
      const now = clock.now();
      const choice = decisions.place(waiting, now);
      if (choice !== undefined) grant(waiting, choice);
      else if (decisions.isAssignmentValid(waiting, now)) blocked.add(subqueue);
      else reassign(waiting);
    }
    stealRequests();
    updateMetrics();
    scheduleTick();
  }

  /** Lets servers without queued work steal requests that they finish sooner. */
  function stealRequests(): void {
    for (;;) {
      const stolen = decisions.steal(clock.now());
      if (stolen === undefined) return;
      grant(stolen.waiting, stolen.choice);
    }
  }

  function grant(waiting: WaitingRequest, choice: ServerChoice): void {
    const { query } = waiting;
    const { team, weight } = query;
    const now = clock.now();
    const { isBeyondShare } = waiting;
    const terms = { permitId: parts.createId(), shard, fence, now, isBeyondShare };
    const { permit, granted, prefill } = createGrant(waiting, choice, terms);
    waits.observeWait(waiting.isLong, waiting.expectedWaitMs, permit.waitedMs);
    charge({ team, weight, tokens: granted.charged });
    queue.remove(waiting);
    addPermit(choice.server, granted);
    const prefillServer = choice.prefill ?? choice.server;
    if (prefill !== undefined) addPermit(prefillServer, prefill);
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
    for (const { prefilling } of servers.values()) {
      if (prefilling.size > 0) return true;
    }
    return false;
  }

  function step(): void {
    const now = clock.now();
    for (const server of servers.values()) recordOverdue(server, now);
    refuseAll(listExpired(queue, now));
    refuseAll(listUnservable(queue, decisions));
    const usableCount = countUsable();
    if (usableCount < previousCount && switches.admission)
      refuseAll(listLate(queue, decisions, now));
    previousCount = usableCount;
    dispatch();
  }

  function refuseAll(found: Iterable<ShedRequest>): void {
    for (const { waiting, reason, retryAfterMs } of found) {
      refuseWaiting(waiting, reason, retryAfterMs);
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
    const server = servers.get(permit.prefillServer ?? '');
    const prefill = server?.permits.get(resolvePrefillId(permit.permitId));
    if (server === undefined || prefill === undefined) return;
    if (prefillMs !== undefined) recordFirstToken(server, prefill, prefillMs, clock.now());
    removePermit(server, prefill.permitId);
  }

  /** Removes the permits that a node no longer uses, apart from those granted within the grace. */
  function dropUnused(owner: string, inUse: ReadonlySet<string>): void {
    const grantedBefore = clock.now() - ADOPTION_GRACE_MS;
    for (const server of servers.values()) {
      for (const permit of [...server.permits.values()]) {
        if (permit.node !== owner || inUse.has(resolvePermitId(permit.permitId))) continue;
        if (permit.grantedAt <= grantedBefore) removePermit(server, permit.permitId);
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
        outputEstimate.observe(permit, release.outputTokens);
      }
      waits.observeRelease(now);
      endPrefill(permit, undefined);
      removePermit(server, permit.permitId);
      charge({ team, weight, tokens: resolveServedTokens(release, server) - charged });
      dispatch();
    },
    cancel(asker, requestId, attempt) {
      const waiting = queue.find({ node: asker, requestId, attempt });
      if (waiting !== undefined) refuseWaiting(waiting, 'withdrawn');
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
      for (const waiting of [...queue.waiting()]) refuseWaiting(waiting, 'lost');
    },
  };
}
