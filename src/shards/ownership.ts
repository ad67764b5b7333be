/**
 * Takes and releases shards for this node. A shard is taken by a conditional write on its row, and
 * only if it was released or the lease of its previous holder is known to be over.
 */
import type { Log } from '../events/index.js';
import type { LeaseHolder, NodeRow } from '../lease/index.js';
import type { ShardSummary } from '../links/index.js';
import type { Row, TableService } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';
import { rankNodes, selectNearNodes, type ZonedNode, type Shard } from './partition.js';
import { parseShardRow, shardRowKey, type ShardRow } from './rows.js';

/** Number of nodes that may try to take a shard. */
const CANDIDATES = 3;
/** Time between two attempts, as a share of the time since the shard lost its known holder. */
const BACKOFF_SHARE = 1 / 8;
const MAX_BACKOFF_MS = 5_000;

/** A shard that this node holds. */
export interface HeldShard {
  name: string;
  fence: number;
  /** Revision of the shard's row while this node holds it; a condition of writes by the holder. */
  revision: number;
  holder: LeaseHolder;
}

/** Dependencies of the ownership task. */
export interface OwnershipParts {
  table: TableService;
  clock: Clock;
  log: Log;
  node: string;
  /** Time between two rounds. */
  intervalMs: number;
  /** Time for which a holder's summary shows that it is alive. */
  summaryTtlMs: number;
  shards(): Shard[];
  /** Names of the nodes that take new work; must be the same array until the set changes. */
  aliveNodes(): readonly string[];
  /** The same nodes with their availability zones. */
  zonedNodes(): readonly ZonedNode[];
  leaseHolder(): LeaseHolder | undefined;
  isLeaseValid(): boolean;
  readNodeRow(node: string): Promise<NodeRow | undefined>;
  taken(shard: HeldShard, previous: ShardRow | undefined): void;
  lost(shard: HeldShard): void;
}

/** The holder of a shard, from its latest summary. */
export interface KnownHolder {
  node: string;
  fence: number;
  receivedAt: number;
  summary: ShardSummary;
}

/** The ownership task. */
export interface Ownership {
  start(): void;
  /** Releases all shards; they must have no work in progress. */
  release(): Promise<void>;
  /** Drops all shards after the loss of the lease. */
  loseAll(): void;
  shardSummaryReceived(summary: ShardSummary): void;
  held(): HeldShard[];
  find(shard: string): HeldShard | undefined;
  /** The holder of a shard, as known to this node. */
  holderOf(shard: string): KnownHolder | undefined;
  /** Nodes that seem to have failed, but whose lease keeps this node from taking their shards. */
  suspectedHolders(): string[];
}

/**
 * Creates the ownership task of a node.
 *
 * @param parts its dependencies
 */
export function createOwnership(parts: OwnershipParts): Ownership {
  const { table, clock, log, node } = parts;
  const held = new Map<string, HeldShard>();
  const holders = new Map<string, KnownHolder>();
  const orphanedSince = new Map<string, number>();
  const suspected = new Map<string, string>();
  const lastTriedAt = new Map<string, number>();
  /** This node's rank for each shard among the nodes in `ranked`. */
  const ranks = new Map<string, number>();
  let ranked: readonly string[] = [];
  let timer: Timer | undefined;
  let stopped = false;
  let running: Promise<void> | undefined;

  async function runRound(): Promise<void> {
    const alive = parts.aliveNodes();
    await releaseUnlisted();
    for (const shard of parts.shards()) {
      if (stopped || !parts.isLeaseValid()) return;
      if (!isOrphan(shard.name, alive)) continue;
      if (!mayTryNow(shard, alive)) continue;
      await tryTake(shard.name);
    }
  }

  function isOrphan(shard: string, alive: readonly string[]): boolean {
    const known = holders.get(shard);
    const hasHolder =
      held.has(shard) ||
      (known !== undefined &&
        alive.includes(known.node) &&
        clock.now() - known.receivedAt <= parts.summaryTtlMs);
    if (hasHolder) {
      orphanedSince.delete(shard);
      lastTriedAt.delete(shard);
      suspected.delete(shard);
      return false;
    }
    if (!orphanedSince.has(shard)) orphanedSince.set(shard, clock.now());
    return true;
  }

  /** Staggers the attempts by rank and backs off between those of this node. */
  function mayTryNow(shard: Shard, alive: readonly string[]): boolean {
    const { name } = shard;
    const rank = resolveRank(shard, alive);
    if (rank < 0 || rank >= CANDIDATES) return false;
    const now = clock.now();
    const orphanedFor = now - (orphanedSince.get(name) ?? now);
    if (orphanedFor < rank * parts.summaryTtlMs) return false;
    return now - (lastTriedAt.get(name) ?? -Infinity) >= resolveBackoff(orphanedFor);
  }

  /** Caches ranks for each set of live nodes, since ranking hashes the names of all nodes. */
  function resolveRank(shard: Shard, alive: readonly string[]): number {
    if (ranked !== alive) {
      ranked = alive;
      ranks.clear();
    }
    const known = ranks.get(shard.name);
    if (known !== undefined) return known;
    const near = selectNearNodes(shard, parts.zonedNodes(), CANDIDATES);
    const rank = rankNodes(shard.name, near).indexOf(node);
    ranks.set(shard.name, rank);
    return rank;
  }

  /** Backoff in proportion to the time without a known holder, to limit reads of the table. */
  function resolveBackoff(orphanedFor: number): number {
    return Math.min(MAX_BACKOFF_MS, orphanedFor * BACKOFF_SHARE);
  }

  async function tryTake(shard: string): Promise<void> {
    lastTriedAt.set(shard, clock.now());
    const read = await table.get(shardRowKey(shard));
    if (read.isErr()) return;
    const row = read.value;
    const previous = row === undefined ? undefined : parseShardRow(row.value);
    if (previous !== undefined && !(await isFree(shard, previous))) return;
    await take(shard, row, previous);
  }

  async function isFree(shard: string, previous: ShardRow): Promise<boolean> {
    if (previous.released) return true;
    const own = parts.leaseHolder();
    if (previous.holder.leaseId === own?.leaseId) return true;
    const nodeRow = await parts.readNodeRow(previous.holder.node);
    if (nodeRow === undefined) {
      suspected.set(shard, previous.holder.node);
      return false;
    }
    const isOver = nodeRow.state !== 'held' || nodeRow.holder.leaseId !== previous.holder.leaseId;
    if (isOver) suspected.delete(shard);
    else suspected.set(shard, previous.holder.node);
    return isOver;
  }

  async function take(
    shard: string,
    row: Row | undefined,
    previous: ShardRow | undefined,
  ): Promise<void> {
    const holder = parts.leaseHolder();
    if (holder === undefined || !parts.isLeaseValid()) return;
    const key = shardRowKey(shard);
    const value: ShardRow = { holder, fence: (previous?.fence ?? 0) + 1, released: false };
    const outcome = await table.transact({
      conditions: [{ key, revision: row?.revision ?? 0 }],
      puts: [{ key, value }],
      deletes: [],
    });
    // If the outcome is unknown, the next round reads the row: this node's lease id in it shows that
    // the write was committed.
    if (outcome.kind !== 'committed') return;
    if (parts.leaseHolder()?.leaseId !== holder.leaseId) return;
    const taken = { name: shard, fence: value.fence, revision: outcome.revision, holder };
    held.set(shard, taken);
    orphanedSince.delete(shard);
    log.write('shardTaken', { shard, fence: taken.fence, former: previous?.holder.node });
    parts.taken(taken, previous);
  }

  function drop(shard: HeldShard): void {
    if (held.get(shard.name) !== shard) return;
    held.delete(shard.name);
    log.write('shardLost', { shard: shard.name, fence: shard.fence });
    parts.lost(shard);
  }

  async function releaseOne(shard: HeldShard): Promise<void> {
    const key = shardRowKey(shard.name);
    const value: ShardRow = { holder: shard.holder, fence: shard.fence, released: true };
    await table.transact({
      conditions: [{ key, revision: shard.revision }],
      puts: [{ key, value }],
      deletes: [],
    });
    held.delete(shard.name);
    log.write('shardReleased', { shard: shard.name, fence: shard.fence });
    parts.lost(shard);
  }

  /**
   * Releases shards that no longer exist after the fleet was repartitioned: their servers belong to
   * other shards, and two holders must not grant permits on them. An empty list is ignored.
   */
  async function releaseUnlisted(): Promise<void> {
    const listed = new Set<string>();
    for (const { name } of parts.shards()) {
      listed.add(name);
    }
    if (listed.size === 0) return;
    for (const shard of [...held.values()]) {
      if (stopped || !parts.isLeaseValid()) return;
      if (!listed.has(shard.name)) await releaseOne(shard);
    }
  }

  function step(): void {
    running = runRound();
    void running.then(() => {
      if (!stopped) timer = clock.after(parts.intervalMs, step);
    });
  }

  return {
    start: step,
    async release() {
      stopped = true;
      timer?.cancel();
      await running;
      for (const shard of [...held.values()]) {
        await releaseOne(shard);
      }
    },
    loseAll() {
      for (const shard of [...held.values()]) {
        drop(shard);
      }
    },
    shardSummaryReceived(summary) {
      const own = held.get(summary.shard);
      if (own !== undefined && summary.holder !== node) {
        if (summary.fence <= own.fence) return;
        drop(own);
      }
      const known = holders.get(summary.shard);
      if (known !== undefined && known.fence > summary.fence) return;
      holders.set(summary.shard, {
        node: summary.holder,
        fence: summary.fence,
        receivedAt: clock.now(),
        summary,
      });
    },
    held: () => [...held.values()],
    find: (shard) => held.get(shard),
    holderOf: (shard) => holders.get(shard),
    suspectedHolders: () => [...suspected.values()],
  };
}
