/**
 * Task that monitors other nodes' leases and marks expired ones as lapsed in the table, so that their
 * shards can be taken over. Each node monitors its successors on the ring of node names, and the nodes
 * that it suspects, so that the number of reads per node is independent of the number of nodes.
 *
 * During a table outage no holder can renew. So a row's unchanged time is counted again from the end of
 * an outage; otherwise every outage would end all leases and move all shards at once.
 */
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';
import { nodeRowKey, nodeRowPrefix, parseNodeRow, type NodeRow } from './rows.js';
import { isLapsed, observeRevision, type LeaseTerms, type Observation } from './terms.js';

const MONITORED_SUCCESSORS = 2;
const MAX_ROWS_AT_START = 1_000;

/** Revision of an absent row. */
const ABSENT_REVISION = 0;

/** Reads that fail for longer than this many renewal periods count as a table outage. */
const OUTAGE_PERIODS = 1.5;

/** Dependencies of the lease monitor. */
export interface LeaseMonitorParts {
  table: TableService;
  clock: Clock;
  log: Log;
  terms: LeaseTerms;
  node: string;
  /** Names of the nodes that are alive according to membership. */
  aliveNodes(): readonly string[];
  /** Holders of shards that this node would take over. */
  suspectedHolders(): string[];
  /** A node's lease has certainly ended. */
  lapsed(row: NodeRow): void;
}

/** Monitor of other nodes' leases. */
export interface LeaseMonitor {
  start(): Promise<void>;
  stop(): void;
  /** Reads a node's row; `undefined` if it is absent or cannot be read. */
  read(node: string): Promise<NodeRow | undefined>;
}

/**
 * Creates the lease monitor of a node.
 *
 * @param parts the table, the clock and the nodes to monitor
 */
export function createLeaseMonitor(parts: LeaseMonitorParts): LeaseMonitor {
  const { table, clock, terms, log } = parts;
  const observations = new Map<string, Observation>();
  const failingSince = new Map<string, number>();
  const knownNodes = new Set<string>();
  let timer: Timer | undefined;
  let stopped = false;

  async function checkAll(): Promise<void> {
    for (const node of chooseMonitored()) {
      if (stopped) return;
      await check(node);
    }
  }

  function chooseMonitored(): Set<string> {
    const monitored = new Set(parts.suspectedHolders());
    for (const node of parts.aliveNodes()) {
      knownNodes.add(node);
    }
    for (const node of nextOnRing(parts.node, knownNodes, MONITORED_SUCCESSORS)) {
      monitored.add(node);
    }
    monitored.delete(parts.node);
    return monitored;
  }

  async function check(node: string): Promise<void> {
    const startedAt = clock.now();
    const read = await table.get(nodeRowKey(node));
    if (read.isErr()) {
      if (!failingSince.has(node)) failingSince.set(node, startedAt);
      return;
    }
    endReadFailure(node);
    const row = read.value === undefined ? createEmptyRow(node) : parseNodeRow(read.value.value);
    if (row === undefined) return;
    if (row.state !== 'held') {
      reportEnded(node, row);
      return;
    }
    const now = clock.now();
    const revision = read.value?.revision ?? ABSENT_REVISION;
    const observation = observeRevision(observations.get(node), revision, now);
    observations.set(node, observation);
    if (isLapsed(observation, now, terms)) await declareLapsed(node, row, revision);
  }

  function endReadFailure(node: string): void {
    const since = failingSince.get(node);
    if (since === undefined) return;
    failingSince.delete(node);
    const failedForMs = clock.now() - since;
    if (failedForMs > OUTAGE_PERIODS * terms.renewEveryMs) observations.delete(node);
  }

  /** Time until the next check: one renewal period, or less if an observed row may lapse earlier. */
  function resolveCheckDelayMs(): number {
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
    // After a conflict or a lost answer, the next check reads the row again.
    if (outcome.kind !== 'committed') return;
    log.write('peerLapsed', { peer: node, leaseId: row.holder.leaseId });
    reportEnded(node, value);
  }

  function reportEnded(node: string, row: NodeRow): void {
    observations.delete(node);
    if (!parts.aliveNodes().includes(node)) knownNodes.delete(node);
    parts.lapsed(row);
  }

  function step(): void {
    void checkAll().then(() => {
      if (!stopped) timer = clock.after(resolveCheckDelayMs(), step);
    });
  }

  return {
    async start() {
      const rows = await table.range({ prefix: nodeRowPrefix, limit: MAX_ROWS_AT_START });
      for (const row of rows.unwrapOr([])) {
        knownNodes.add(row.key.slice(nodeRowPrefix.length));
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
 * Creates a substitute for a deleted row. Nobody can renew it, so it lapses, and the node's shards can
 * be taken over.
 */
function createEmptyRow(node: string): NodeRow {
  return {
    holder: { node, incarnation: '', leaseId: '', peer: '' },
    state: 'held',
    counter: 0,
  };
}

/**
 * Returns the names that follow one on the sorted ring of names.
 *
 * @param self the name to start from
 * @param names all names, in any order
 * @param count the maximum number of names to return
 */
export function nextOnRing(self: string, names: ReadonlySet<string>, count: number): string[] {
  const sorted = [...names].filter((name) => name !== self);
  sorted.sort();
  const start = sorted.findIndex((name) => name > self);
  const ring = start <= 0 ? sorted : [...sorted.slice(start), ...sorted.slice(0, start)];
  return ring.slice(0, count);
}
