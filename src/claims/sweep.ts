/**
 * Periodic task that removes expired claims. Each key range is swept by one of the live nodes. Two
 * sweepers of one range are harmless, because each removal is conditional on the row's revision.
 * Removals are rate limited, and each pass is followed by a pause, to leave the table's write
 * capacity to active claims.
 */
import type { Metrics } from '../metrics/index.js';
import type { ObjectStore, Row, TableService } from '../ports/index.js';
import { rankNodes } from '../shards/index.js';
import type { Clock, Timer } from '../task/index.js';
import { claimRowPrefix, parseClaimRow, type ClaimRow } from './rows.js';

/** Possible first characters of team names; each is one key range. */
const RANGE_CHARACTERS = '0123456789abcdefghijklmnopqrstuvwxyz';
const PAGE_ROWS = 64;
/** Minimum pause between two pages, in milliseconds. */
const PAGE_PAUSE_MS = 250;
/** Pause after a pass over all ranges, in milliseconds. */
const PASS_PAUSE_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Dependencies and limits of the sweep. */
export interface ClaimSweepParts {
  table: TableService;
  objectStore: ObjectStore;
  clock: Clock;
  metrics: Pick<Metrics, 'claims'>;
  node: string;
  /** How long a claim is kept after its last write, in milliseconds. */
  retentionMs: number;
  /** Maximum number of removals per second by this node. */
  sweepPerSecond: number;
  /** Names of the nodes considered alive, including this one. */
  aliveNodes(): readonly string[];
  /** Milliseconds since the epoch. */
  wallClock(): number;
}

/** The claim sweep of a node. */
export interface ClaimSweep {
  start(): void;
  stop(): void;
}

/** Position of the sweep. */
interface Cursor {
  /** Index of the key range. */
  range: number;
  /** The last key of the previous page; empty at the start of a range. */
  after: string;
}

/**
 * Creates the claim sweep of a node.
 *
 * @param parts the stores, the limits and the live nodes
 */
export function createClaimSweep(parts: ClaimSweepParts): ClaimSweep {
  const { table, objectStore, clock, metrics } = parts;
  let cursor: Cursor = { range: 0, after: '' };
  let timer: Timer | undefined;
  let stopped = false;

  /** @returns the pause before the next page, in milliseconds */
  async function sweepPage(): Promise<number> {
    const prefix = resolveRangePrefix(cursor.range);
    if (prefix === undefined) {
      cursor = { range: 0, after: '' };
      return PASS_PAUSE_MS;
    }
    if (rankNodes(prefix, parts.aliveNodes())[0] !== parts.node) {
      cursor = { range: cursor.range + 1, after: '' };
      return 0;
    }
    const read = await table.range({ prefix, after: cursor.after, limit: PAGE_ROWS });
    if (read.isErr()) return PASS_PAUSE_MS;
    const last = read.value.at(-1);
    const isEnd = last === undefined || read.value.length < PAGE_ROWS;
    cursor = isEnd
      ? { range: cursor.range + 1, after: '' }
      : { range: cursor.range, after: last.key };
    const removed = await removeExpired(read.value);
    return Math.max(PAGE_PAUSE_MS, (removed / parts.sweepPerSecond) * MS_PER_SECOND);
  }

  async function removeExpired(rows: readonly Row[]): Promise<number> {
    const expired: Row[] = [];
    for (const row of rows) {
      const claim = parseClaimRow(row.value);
      if (claim === undefined || !isExpired(claim)) continue;
      if (await removeBody(claim)) expired.push(row);
    }
    if (expired.length > 0) await removeRows(expired);
    return expired.length;
  }

  /** The retention is far longer than any request's deadline, so no running request has an expired claim. */
  function isExpired(claim: ClaimRow): boolean {
    return parts.wallClock() - claim.writtenAt > parts.retentionMs;
  }

  /** The body is removed before the row, since a body whose row is gone would never be found again. */
  async function removeBody({ answer }: ClaimRow): Promise<boolean> {
    if (answer?.objectKey === undefined) return true;
    return (await objectStore.delete(answer.objectKey)).isOk();
  }

  async function removeRows(rows: readonly Row[]): Promise<void> {
    const outcome = await table.transact({
      conditions: rows.map(({ key, revision }) => ({ key, revision })),
      puts: [],
      deletes: rows.map(({ key }) => key),
    });
    // Rows that were not removed are swept by the next pass.
    if (outcome.kind === 'committed') metrics.claims.inc({ outcome: 'swept' }, rows.length);
  }

  function step(): void {
    void sweepPage().then((pauseMs) => {
      if (!stopped) timer = clock.after(pauseMs, step);
    });
  }

  return {
    start() {
      timer = clock.after(PASS_PAUSE_MS, step);
    },
    stop() {
      stopped = true;
      timer?.cancel();
    },
  };
}

function resolveRangePrefix(index: number): string | undefined {
  const character = RANGE_CHARACTERS[index];
  return character === undefined ? undefined : `${claimRowPrefix}${character}`;
}
