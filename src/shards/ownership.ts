/**
 * The task that takes shards for this node and gives them back. A shard is taken only when it was
 * released or when its former holder's lease is certainly over, by a conditional write on its row.
 */
import type { Log } from '../events/index.js';
import type { LeaseHolder, NodeRow } from '../lease/index.js';
import type { ShardSummary } from '../links/index.js';
import type { Row, TableService } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';
import { rankNodes, selectNearNodes, type ZonedNode, type Shard } from './partition.js';
import { parseShardRow, shardRowKey, type ShardRow } from './rows.js';

/** Nodes that may try to take one shard. */
const CANDIDATES = 3;
/** Time between two tries as a share of how long the shard has been without a known holder. */
const PAUSE_SHARE = 1 / 8;
const MAX_PAUSE_MS = 5_000;

/** A shard that this node holds. */
export interface HeldShard {
  name: string;
  fence: number;
  /** Revision of the shard's row while it is ours; a condition of everything done under it. */
  revision: number;
  holder: LeaseHolder;
}

/** What ownership needs. */
export interface OwnershipParts {
  table: TableService;
  clock: Clock;
  log: Log;
  node: string;
  /** Time between two looks at the shards. */
  intervalMs: number;
  /** A holder's summary counts as fresh for this long. */
  summaryTtlMs: number;
  shards(): Shard[];
  /** Names of the nodes that take new work; the same array until it changes. */
  aliveNodes(): readonly string[];
  /** The same nodes with their availability zones. */
  zonedNodes(): readonly ZonedNode[];
  leaseHolder(): LeaseHolder | undefined;
  isLeaseValid(): boolean;
  readNodeRow(node: string): Promise<NodeRow | undefined>;
  taken(shard: HeldShard, former: ShardRow | undefined): void;
  lost(shard: HeldShard): void;
}

/** What is known of a shard's holder. */
export interface KnownHolder {
  node: string;
  fence: number;
  receivedAt: number;
  summary: ShardSummary;
}

/** The ownership task. */
export interface Ownership {
  start(): void;
  /** Gives every shard back; nothing may be under way in them any more. */
  release(): Promise<void>;
  /** Every shard is lost, because the lease is. */
  loseAll(): void;
  shardSummaryReceived(summary: ShardSummary): void;
  held(): HeldShard[];
  find(shard: string): HeldShard | undefined;
  /** Who holds a shard, as far as this node knows. */
  holderOf(shard: string): KnownHolder | undefined;
  /** Nodes whose lease stands between this node and a shard. */
  suspectedHolders(): string[];
}

/**
 * Creates the ownership task of a node.
 *
 * @param parts the table, membership and lease, and who hears of gain and loss
 */
export function createOwnership(parts: OwnershipParts): Ownership {
  const { table, clock, log, node } = parts;
  const held = new Map<string, HeldShard>();
  const holders = new Map<string, KnownHolder>();
  const orphanedSince = new Map<string, number>();
  const suspected = new Map<string, string>();
  const triedAt = new Map<string, number>();
  /** This node's rank for each shard among the nodes last seen alive. */
  const ranks = new Map<string, number>();
  let ranked: readonly string[] = [];
  let timer: Timer | undefined;
  let stopped = false;
  let running: Promise<void> | undefined;

  async function round(): Promise<void> {
    const alive = parts.aliveNodes();
    await releaseUnlisted();
    for (const shard of parts.shards()) {
      if (stopped || !parts.isLeaseValid()) return;
      if (!isOrphan(shard.name, alive)) continue;
      if (!isOwnTurn(shard, alive)) continue;
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
      triedAt.delete(shard);
      suspected.delete(shard);
      return false;
    }
    if (!orphanedSince.has(shard)) orphanedSince.set(shard, clock.now());
    return true;
  }

  /** The first in rank tries at once, the next ones a little later each. */
  function isOwnTurn(shard: Shard, alive: readonly string[]): boolean {
    const { name } = shard;
    const rank = resolveRank(shard, alive);
    if (rank < 0 || rank >= CANDIDATES) return false;
    const now = clock.now();
    const orphanedFor = now - (orphanedSince.get(name) ?? now);
    if (orphanedFor < rank * parts.summaryTtlMs) return false;
    return now - (triedAt.get(name) ?? -Infinity) >= resolvePause(orphanedFor);
  }

  /** Ranking hashes every node's name, so it is done once for each set of nodes alive. */
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

  /** Tries grow rarer, so that an hour apart from the holder does not wear out the table. */
  function resolvePause(orphanedFor: number): number {
    return Math.min(MAX_PAUSE_MS, orphanedFor * PAUSE_SHARE);
  }

  async function tryTake(shard: string): Promise<void> {
    triedAt.set(shard, clock.now());
    const read = await table.get(shardRowKey(shard));
    if (read.isErr()) return;
    const row = read.value;
    const former = row === undefined ? undefined : parseShardRow(row.value);
    if (former !== undefined && !(await isFree(shard, former))) return;
    await take(shard, row, former);
  }

  async function isFree(shard: string, former: ShardRow): Promise<boolean> {
    if (former.released) return true;
    const own = parts.leaseHolder();
    if (former.holder.leaseId === own?.leaseId) return true;
    const nodeRow = await parts.readNodeRow(former.holder.node);
    if (nodeRow === undefined) {
      suspected.set(shard, former.holder.node);
      return false;
    }
    const isOver = nodeRow.state !== 'held' || nodeRow.holder.leaseId !== former.holder.leaseId;
    if (isOver) suspected.delete(shard);
    else suspected.set(shard, former.holder.node);
    return isOver;
  }

  async function take(
    shard: string,
    row: Row | undefined,
    former: ShardRow | undefined,
  ): Promise<void> {
    const holder = parts.leaseHolder();
    if (holder === undefined || !parts.isLeaseValid()) return;
    const key = shardRowKey(shard);
    const value: ShardRow = { holder, fence: (former?.fence ?? 0) + 1, released: false };
    const outcome = await table.transact({
      conditions: [{ key, revision: row?.revision ?? 0 }],
      puts: [{ key, value }],
      deletes: [],
    });
    // After a lost answer the next round finds the row: our own lease id in it says it landed.
    if (outcome.kind !== 'committed') return;
    if (parts.leaseHolder()?.leaseId !== holder.leaseId) return;
    const taken = { name: shard, fence: value.fence, revision: outcome.revision, holder };
    held.set(shard, taken);
    orphanedSince.delete(shard);
    log.write('shardTaken', { shard, fence: taken.fence, former: former?.holder.node });
    parts.taken(taken, former);
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
   * A fleet that grew or shrank is parted anew; its servers then belong to other shards, and two
   * holders would grant places on them. An empty list says nothing.
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
    running = round();
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
