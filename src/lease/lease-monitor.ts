/**
 * The task that watches other nodes' leases and declares them lapsed in the table, so that what
 * they held can be taken. Each node watches the next few on the ring of names, and whichever nodes
 * it suspects; so the reads do not grow with the number of nodes.
 *
 * A row that stood unchanged because the table could not be written says nothing of its holder.
 * After an outage of the table the watch begins to count anew; otherwise every outage would cost
 * every node its lease, and all shards would change hands at once.
 */
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';
import { nodeRowKey, nodeRowPrefix, parseNodeRow, type NodeRow } from './rows.js';
import { isLapsed, observeRevision, type LeaseTerms, type Observation } from './terms.js';

const WATCHED_ON_RING = 2;
const MAX_ROWS_AT_START = 1_000;

/** The revision that stands for a row which is not there. */
const ABSENT = 0;

/** Reads that failed for longer than so many periods were an outage, in which nobody could renew. */
const OUTAGE_PERIODS = 1.5;

/** What the watch needs. */
export interface LeaseMonitorParts {
  table: TableService;
  clock: Clock;
  log: Log;
  terms: LeaseTerms;
  node: string;
  /** Names of the nodes that membership knows and hears of. */
  aliveNodes(): readonly string[];
  /** Nodes that hold something this node would take over. */
  suspectedHolders(): string[];
  /** A node's lease is certainly over. */
  lapsed(row: NodeRow): void;
}

/** The watch over other nodes' leases. */
export interface LeaseMonitor {
  start(): Promise<void>;
  stop(): void;
  /** The row of a node as last read; reads it when it is not watched. */
  read(node: string): Promise<NodeRow | undefined>;
}

/**
 * Creates the watch of a node.
 *
 * @param parts the table, the clock and whom to watch
 */
export function createLeaseMonitor(parts: LeaseMonitorParts): LeaseMonitor {
  const { table, clock, terms, log } = parts;
  const observations = new Map<string, Observation>();
  const failingSince = new Map<string, number>();
  const known = new Set<string>();
  let timer: Timer | undefined;
  let stopped = false;

  async function round(): Promise<void> {
    for (const node of chooseWatched()) {
      if (stopped) return;
      await watch(node);
    }
  }

  function chooseWatched(): Set<string> {
    const watched = new Set(parts.suspectedHolders());
    for (const node of parts.aliveNodes()) {
      known.add(node);
    }
    for (const node of nextOnRing(parts.node, known, WATCHED_ON_RING)) {
      watched.add(node);
    }
    watched.delete(parts.node);
    return watched;
  }

  async function watch(node: string): Promise<void> {
    const startedAt = clock.now();
    const read = await table.get(nodeRowKey(node));
    if (read.isErr()) {
      if (!failingSince.has(node)) failingSince.set(node, startedAt);
      return;
    }
    endFailure(node);
    const row = read.value === undefined ? createEmptyRow(node) : parseNodeRow(read.value.value);
    if (row === undefined) return;
    if (row.state !== 'held') {
      settle(node, row);
      return;
    }
    const now = clock.now();
    const revision = read.value?.revision ?? ABSENT;
    const observation = observeRevision(observations.get(node), revision, now);
    observations.set(node, observation);
    if (isLapsed(observation, now, terms)) await declareLapsed(node, row, revision);
  }

  function endFailure(node: string): void {
    const since = failingSince.get(node);
    if (since === undefined) return;
    failingSince.delete(node);
    const failedForMs = clock.now() - since;
    if (failedForMs > OUTAGE_PERIODS * terms.renewEveryMs) observations.delete(node);
  }

  /** The next look is due when a row watched now would have stood unchanged for long enough. */
  function nextLookInMs(): number {
    let delayMs = terms.renewEveryMs;
    for (const { firstSeenAt } of observations.values()) {
      const dueInMs = firstSeenAt + terms.takerMs - clock.now();
      if (dueInMs > 0) delayMs = Math.min(delayMs, dueInMs);
    }
    return delayMs;
  }

  async function declareLapsed(node: string, row: NodeRow, revision: number): Promise<void> {
    const key = nodeRowKey(node);
    const value: NodeRow = { ...row, state: 'lapsed' };
    const outcome = await table.transact({
      conditions: [{ key, revision }],
      puts: [{ key, value }],
      deletes: [],
    });
    // A lost answer is settled by the next round, which reads the row again.
    if (outcome.kind !== 'committed') return;
    log.write('peerLapsed', { peer: node, leaseId: row.holder.leaseId });
    settle(node, value);
  }

  function settle(node: string, row: NodeRow): void {
    observations.delete(node);
    if (!parts.aliveNodes().includes(node)) known.delete(node);
    parts.lapsed(row);
  }

  function step(): void {
    void round().then(() => {
      if (!stopped) timer = clock.after(nextLookInMs(), step);
    });
  }

  return {
    async start() {
      const rows = await table.range({ prefix: nodeRowPrefix, limit: MAX_ROWS_AT_START });
      for (const row of rows.unwrapOr([])) {
        known.add(row.key.slice(nodeRowPrefix.length));
      }
      step();
    },
    stop() {
      stopped = true;
      timer?.cancel();
    },
    async read(node) {
      const read = await table.get(nodeRowKey(node));
      if (read.isErr() || read.value === undefined) return undefined;
      return parseNodeRow(read.value.value);
    },
  };
}

/**
 * Stands for the row of a node that has none, because someone deleted it. Nobody can renew it, so it
 * lapses like any other, and what the node held becomes free.
 */
function createEmptyRow(node: string): NodeRow {
  return {
    holder: { node, incarnation: '', leaseId: '', peer: '' },
    state: 'held',
    counter: 0,
  };
}

/**
 * The next names after one on the ring of names.
 *
 * @param self where to begin
 * @param names all names, in any order
 * @param count how many to return at most
 */
export function nextOnRing(self: string, names: ReadonlySet<string>, count: number): string[] {
  const sorted = [...names].filter((name) => name !== self);
  sorted.sort();
  const start = sorted.findIndex((name) => name > self);
  const ring = start <= 0 ? sorted : [...sorted.slice(start), ...sorted.slice(0, start)];
  return ring.slice(0, count);
}
