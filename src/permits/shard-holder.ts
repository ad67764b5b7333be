/**
 * The task that grants permits for the servers of one shard. It alone places requests there, so its
 * tally is exact; a router that was granted a permit speaks to the server itself.
 */
import { createRefusal, type FailureCode, type Step } from '../errors/index.js';
import type {
  PermitAdoption,
  PermitAnswer,
  PermitQuery,
  PermitRelease,
  ShardSummary,
} from '../links/index.js';
import type { Metrics } from '../metrics/index.js';
import type { EngineState, LoadReport, ServiceState, Vm } from '../platform/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { ServerChoice } from './choice.js';
import { createFairQueue, type Waiting } from './queue.js';
import {
  addPermit,
  createServer,
  freeSlots,
  learnEngine,
  learnService,
  removePermit,
  type GrantedPermit,
  type Server,
} from './server.js';

const EXPIRE_EVERY_MS = 50;
/** A server that did not answer so often in a row gets no new work until it does. */
const MAX_SILENCES = 2;
const MS_PER_SECOND = 1_000;

/** What a shard holder needs. */
export interface ShardHolderParts {
  shard: string;
  node: string;
  fence: number;
  kind: 'model-engine' | 'plain-service';
  clock: Clock;
  metrics: Metrics;
  choice: ServerChoice;
  /** Most requests that may wait. */
  maxQueue: number;
  createId(): string;
  /** Whether this node's lease is valid; requests that may not be repeated need it. */
  isLeaseValid(): boolean;
  /** Whether a server belongs to a group, by the configuration in force. */
  isMember(group: string, vm: Vm): boolean;
  /** Whether operators or the platform's list took a server out of use. */
  isWithdrawn(vm: Vm): boolean;
}

/** How much still runs on a server. */
export interface Occupancy {
  permitsOut: number;
  /** The server's own last word, where it has been heard. */
  reportedRunning: number | undefined;
  reportedAt: number;
}

/** The holder of one shard. */
export interface ShardHolder {
  ask(node: string, query: PermitQuery): Promise<PermitAnswer>;
  release(release: PermitRelease): void;
  cancel(node: string, requestId: string, attempt: number): void;
  adopt(adoption: PermitAdoption): void;
  /** A node is gone; its permits are no longer in use. */
  forgetNode(node: string): void;
  setVms(vms: readonly Vm[]): void;
  learnEngine(state: EngineState): void;
  learnService(state: ServiceState): void;
  learnLoad(server: string, report: LoadReport): void;
  /** A server did not answer. */
  learnSilence(server: string): void;
  /** Keeps a server free of new work, for an order. */
  holdForOrder(server: string, held: boolean): void;
  occupancy(server: string): Occupancy | undefined;
  servers(): Server[];
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
  const { shard, node, fence, clock, metrics } = parts;
  const servers = new Map<string, Server>();
  const queue = createFairQueue();
  let sequence = 0;
  let stopped = false;
  let expiry: Timer | undefined;

  function refuse(
    code: FailureCode,
    step: Step,
    message: string,
    retryAfterMs?: number,
  ): PermitAnswer {
    const detail = { code, message, step, peer: node };
    const failure = createRefusal(
      retryAfterMs === undefined ? detail : { ...detail, retryAfterMs },
    );
    return { kind: 'permit.refused', failure };
  }

  function isUsable(server: Server): boolean {
    if (server.incarnation === '' || server.silences >= MAX_SILENCES) return false;
    if (server.busy || server.leaving || server.heldForOrder) return false;
    return !parts.isWithdrawn(server.vm);
  }

  function canServe(server: Server, query: PermitQuery): boolean {
    if (!isUsable(server) || query.avoid.includes(server.vm.id)) return false;
    if (!parts.isMember(query.group, server.vm)) return false;
    if (parts.kind === 'plain-service') return true;
    if (query.model !== undefined && !server.models.has(query.model)) return false;
    if (query.adapter !== undefined && !server.adapters.has(query.adapter)) return false;
    return server.role === 'mixed';
  }

  function hasRoom(server: Server, query: PermitQuery): boolean {
    if (freeSlots(server) <= 0) return false;
    const tokens = query.promptTokens + query.expectedOutputTokens;
    // A request larger than the whole cache still runs when it is alone.
    return server.permits.size === 0 || server.reservedTokens + tokens <= server.kvTokens;
  }

  function findCandidates(query: PermitQuery): Server[] {
    const candidates: Server[] = [];
    for (const server of servers.values()) {
      if (canServe(server, query)) candidates.push(server);
    }
    return candidates;
  }

  function ask(asker: string, query: PermitQuery): Promise<PermitAnswer> {
    const refusal = refuseAtOnce(query);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const now = clock.now();
      queue.add({
        query,
        node: asker,
        since: now,
        firstTokenBy: now + query.firstTokenInMs,
        answer: resolve,
      });
      dispatch();
    });
  }

  function refuseAtOnce(query: PermitQuery): PermitAnswer | undefined {
    if (stopped) return refuse('lease-lost', 'permit.ask', 'the shard is held elsewhere now');
    if (!query.repeatable && !parts.isLeaseValid()) {
      return refuse(
        'claims-unavailable',
        'permit.ask',
        'the lease on the shard cannot be renewed; requests that may not be repeated wait',
        MS_PER_SECOND,
      );
    }
    const candidates = findCandidates(query);
    if (candidates.length === 0) {
      return refuse(
        'no-backend-server',
        'permit.ask',
        'no backend server of the group can take the request now',
        MS_PER_SECOND,
      );
    }
    if (queue.size() >= parts.maxQueue) {
      return refuse('queue-full', 'permit.ask', 'too many requests wait', MS_PER_SECOND);
    }
    const waitMs = estimateWaitMs(query, candidates);
    if (waitMs <= query.firstTokenInMs) return undefined;
    return refuse(
      'cannot-be-on-time',
      'permit.ask',
      'the requests ahead take longer than this one may wait',
      waitMs - query.firstTokenInMs,
    );
  }

  /** Work ahead of the request, spread over the slots that could take it. */
  function estimateWaitMs(query: PermitQuery, candidates: readonly Server[]): number {
    let slots = 0;
    let free = 0;
    for (const server of candidates) {
      slots += server.slots;
      free += freeSlots(server);
    }
    let aheadMs = 0;
    let ahead = 0;
    for (const waiting of queue.ordered()) {
      if (waiting.query.priority > query.priority) break;
      ahead += 1;
      aheadMs += serviceMs(waiting.query, candidates[0]);
    }
    if (ahead < free) return 0;
    return aheadMs / Math.max(1, slots);
  }

  function serviceMs(query: PermitQuery, server: Server | undefined): number {
    if (server === undefined) return 0;
    const readSeconds = query.promptTokens / server.prefillTokensPerSecond;
    const writeSeconds = query.expectedOutputTokens / server.decodeTokensPerSecond;
    return (readSeconds + writeSeconds) * MS_PER_SECOND;
  }

  function dispatch(): void {
    if (stopped) return;
    for (const waiting of queue.ordered()) {
      const withRoom: Server[] = [];
      for (const server of findCandidates(waiting.query)) {
        if (hasRoom(server, waiting.query)) withRoom.push(server);
      }
      const chosen = parts.choice.choose(waiting.query, withRoom);
      if (chosen !== undefined) grant(waiting, chosen);
    }
    updateMetrics();
    scheduleExpiry();
  }

  function grant(waiting: Waiting, server: Server): void {
    const { query } = waiting;
    const now = clock.now();
    const permitId = parts.createId();
    queue.remove(waiting);
    queue.charge(query.team, query.weight, query.promptTokens + query.expectedOutputTokens);
    server.prefixes.add(query.prefixes);
    addPermit(server, {
      permitId,
      requestId: query.requestId,
      node: waiting.node,
      server: server.vm.id,
      team: query.team,
      class: query.class,
      promptTokens: query.promptTokens,
      outputTokens: query.expectedOutputTokens,
      grantedAt: now,
    });
    const permit = {
      permitId,
      shard,
      fence,
      server: server.vm.id,
      address: server.vm.address,
      waitedMs: now - waiting.since,
    };
    waiting.answer({ kind: 'permit.granted', permit });
  }

  function scheduleExpiry(): void {
    if (expiry !== undefined || queue.size() === 0) return;
    expiry = clock.after(EXPIRE_EVERY_MS, () => {
      expiry = undefined;
      expire();
      scheduleExpiry();
    });
  }

  /** Whoever can no longer be on time hears so at once. */
  function expire(): void {
    const now = clock.now();
    for (const waiting of queue.ordered()) {
      const isHopeless = findCandidates(waiting.query).length === 0;
      if (now < waiting.firstTokenBy && !isHopeless) continue;
      queue.remove(waiting);
      waiting.answer(
        refuse(
          isHopeless ? 'no-backend-server' : 'cannot-be-on-time',
          'permit.wait',
          'no place became free in time',
          MS_PER_SECOND,
        ),
      );
    }
    updateMetrics();
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

  function giveBack(server: Server, permitId: string): GrantedPermit | undefined {
    const permit = removePermit(server, permitId);
    if (permit !== undefined) dispatch();
    return permit;
  }

  return {
    ask,
    release(release) {
      const server = servers.get(release.server);
      if (server === undefined) return;
      const permit = giveBack(server, release.permitId);
      if (permit === undefined) return;
      const actual = release.promptTokens - release.cachedTokens + release.outputTokens;
      queue.charge(permit.team, 1, actual - permit.promptTokens - permit.outputTokens);
    },
    cancel(asker, requestId, attempt) {
      const waiting = queue.find(asker, requestId, attempt);
      if (waiting === undefined) return;
      queue.remove(waiting);
      waiting.answer(refuse('cancelled', 'permit.wait', 'the request was withdrawn'));
    },
    adopt(adoption) {
      const inUse = new Set<string>();
      for (const permit of adoption.permits) {
        inUse.add(permit.permitId);
        const server = servers.get(permit.server);
        if (server === undefined) continue;
        addPermit(server, {
          permitId: permit.permitId,
          requestId: permit.requestId,
          node: adoption.node,
          server: permit.server,
          team: permit.team,
          class: permit.class,
          promptTokens: permit.promptTokens,
          outputTokens: permit.expectedOutputTokens,
          grantedAt: clock.now(),
        });
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
    learnEngine(state) {
      const server = servers.get(state.id);
      if (server === undefined) return;
      learnEngine(server, state);
      dispatch();
    },
    learnService(state) {
      const server = servers.get(state.id);
      if (server === undefined) return;
      learnService(server, state);
      dispatch();
    },
    learnLoad(id, report) {
      const server = servers.get(id);
      if (server === undefined) return;
      server.reportedRunning = report.running + report.waiting;
      server.reportedAt = clock.now() - report.ageMs;
    },
    learnSilence(id) {
      const server = servers.get(id);
      if (server !== undefined) server.silences += 1;
    },
    holdForOrder(id, isHeld) {
      const server = servers.get(id);
      if (server === undefined) return;
      server.heldForOrder = isHeld;
      if (!isHeld) dispatch();
    },
    occupancy(id) {
      const server = servers.get(id);
      if (server === undefined) return undefined;
      return {
        permitsOut: server.permits.size,
        reportedRunning: server.reportedRunning,
        reportedAt: server.reportedAt,
      };
    },
    servers: () => [...servers.values()],
    summary() {
      const summaries = [];
      for (const server of servers.values()) {
        const free = isUsable(server) ? Math.max(0, freeSlots(server)) : 0;
        summaries.push({ id: server.vm.id, free, role: server.role });
      }
      return { shard, holder: node, fence, sequence, waiting: queue.size(), servers: summaries };
    },
    stop() {
      stopped = true;
      expiry?.cancel();
      for (const waiting of queue.ordered()) {
        queue.remove(waiting);
        waiting.answer(refuse('lease-lost', 'permit.wait', 'the shard is held elsewhere now'));
      }
    },
  };

  /** Permits of a node that it no longer uses, granted long enough ago for it to have heard. */
  function dropUnused(user: string, inUse: ReadonlySet<string>): void {
    const heardBefore = clock.now() - ADOPTION_GRACE_MS;
    for (const server of servers.values()) {
      for (const permit of [...server.permits.values()]) {
        if (permit.node !== user || inUse.has(permit.permitId)) continue;
        if (permit.grantedAt <= heardBefore) removePermit(server, permit.permitId);
      }
    }
    dispatch();
  }
}

/** A permit younger than this may still be on its way to its router. */
const ADOPTION_GRACE_MS = 2_000;
