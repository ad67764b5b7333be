/**
 * Keeps where streams began on the platform, so that they can be continued after all gateways were lost at once.
 * Records are stored while a service has more than one software version; with one, that version began them all.
 *
 * The first replica of a bucket stores its records, a few times a second and all in one transaction, so the calls do not
 * grow with the gateways. Two gateways that both take themselves for the first store some records twice, which does no
 * harm; one that becomes the first stores all that it holds. Nothing waits for the platform before a stream's first event.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { TableService } from '../ports/table-service.js';
import { wait, type Clock } from '../task/index.js';
import type { StreamOrigin } from './messages.js';
import type { OriginRecords } from './origin-records.js';
import {
  createSegment,
  parseSegment,
  resolveSegmentPrefix,
  type Segment,
  type StoredSegment,
} from './origin-segments.js';
import { BUCKETS, resolveBucket, type Replicas } from './replicas.js';
import {
  createSegmentRemovals,
  MAX_SEGMENTS_PER_BUCKET,
  type RemovalTimes,
} from './segment-removals.js';
import type { VersionHistory } from './version-history.js';

/** Interval between two transactions, in ms: streams that began within it may be lost with all gateways. */
const WRITE_INTERVAL_MS = 400;
/** A gateway that stops stores what came within this time, in ms: the first replicas may stop as well, or may not have
 * found the others yet. */
const RECENT_MS = 2_500;
/** Longest interval between two transactions while they fail, in ms. */
const MAX_RETRY_MS = 5_000;
/** Most rows that a transaction writes, and most that it removes. */
const MAX_ROWS_PER_WRITE = 40;
/** Most segments that wait to be written; the oldest are dropped beyond. */
const MAX_WAITING = 200;
/** Most segments of a bucket that are read; two gateways may each have taken themselves for the first. */
const MAX_ROWS_PER_READ = 2 * MAX_SEGMENTS_PER_BUCKET;
/** Time for which a read of a bucket holds, in ms. */
const READ_HOLDS_MS = 2_000;
/** Time after a failed read of a bucket before the next, in ms. */
const READ_RETRY_MS = 300;

/** Where streams began, as far as the platform stores it. */
export interface StoredOrigins {
  /** A record has come to this gateway. */
  recorded(attempt: string, origin: StreamOrigin, keepMs: number): void;
  /**
   * Adds what is stored of an attempt's bucket to the records, unless that was done a moment ago.
   *
   * @returns whether it was read
   */
  load(attempt: string): Promise<boolean>;
  /** Stores records until the gateway stops. */
  start(): Promise<void>;
  /** Stores what waits and what came last, for a gateway that stops. */
  flush(): Promise<void>;
  /** Stores all records again after the platform has lost them. */
  rewrite(): void;
}

/** Dependencies of {@link createStoredOrigins}. */
export interface StoredOriginsParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'originsStored'>;
  table: TableService;
  signal: AbortSignal;
  records: OriginRecords;
  replicas: Pick<Replicas, 'isFirst'>;
  history: Pick<VersionHistory, 'versions'>;
  /** Whether this gateway has had time to find the others; before, it would take itself for the first everywhere. */
  hasFoundPeers(): boolean;
  /** Services whose streams may be continued. */
  services(): Iterable<string>;
}

/** A record that has just come. */
interface RecentRecord {
  attempt: string;
  origin: StreamOrigin;
  keepMs: number;
  cameAt: number;
}

/** A read of a bucket. */
interface BucketRead {
  startedAt: number;
  holdsMs: number;
  /** `undefined` if it failed. */
  found: Promise<RemovalTimes | undefined>;
}

/**
 * Creates the storing of one gateway's records.
 *
 * @param parts the platform's table, the records and whose they are
 */
export function createStoredOrigins(parts: StoredOriginsParts): StoredOrigins {
  const { clock, log, metrics, table, signal, records } = parts;
  /** Services with more than one version, as of the last write. */
  let mixed: ReadonlySet<string> = new Set();
  /** Buckets that this gateway stores. */
  const own = new Set<number>();
  const open = new Map<number, Segment>();
  /** Oldest first. */
  let recent: RecentRecord[] = [];
  /** Segments with records that are not stored yet, oldest first. */
  const waiting = new Map<string, Segment>();
  const removals = createSegmentRemovals();
  const reads = new Map<number, BucketRead>();
  let retryMs = WRITE_INTERVAL_MS;
  /** The last write; each waits for the one before. */
  let writing = Promise.resolve();

  function add(bucket: number, attempt: string, origin: StreamOrigin, keepMs: number): void {
    let segment = open.get(bucket);
    if (segment?.add(attempt, origin, keepMs) !== true) {
      segment = createSegment(bucket);
      segment.add(attempt, origin, keepMs);
      open.set(bucket, segment);
    }
    waiting.set(segment.key, segment);
    dropOldest();
  }

  function dropOldest(): void {
    for (const [key, segment] of waiting) {
      if (waiting.size <= MAX_WAITING) return;
      waiting.delete(key);
      if (open.get(segment.bucket) === segment) open.delete(segment.bucket);
      metrics.originsStored.inc({ outcome: 'dropped' });
      log.write('originsDropped', { bucket: segment.bucket, streams: segment.size() });
    }
  }

  function findMixed(): Set<string> {
    const found = new Set<string>();
    for (const service of parts.services()) {
      if (parts.history.versions(service).versions.length > 1) found.add(service);
    }
    return found;
  }

  /** Takes over the buckets whose first replica this gateway is now, and leaves the others. */
  function chooseOwn(): void {
    const before = mixed;
    mixed = findMixed();
    if ([...mixed].some((service) => !before.has(service))) own.clear();
    const isStoring = mixed.size > 0 && parts.hasFoundPeers();
    const gained = new Set<number>();
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      const isOwn = isStoring && parts.replicas.isFirst(bucket);
      if (isOwn && !own.has(bucket)) gained.add(bucket);
      if (isOwn) own.add(bucket);
      else own.delete(bucket);
    }
    if (gained.size > 0) takeOver(gained);
  }

  function takeOver(gained: ReadonlySet<number>): void {
    for (const [attempt, origin, keepMs] of records.list(clock.now())) {
      const bucket = resolveBucket(attempt);
      if (gained.has(bucket) && mixed.has(origin.service)) add(bucket, attempt, origin, keepMs);
    }
    // those that stored them before may be gone, so this gateway removes their segments in time
    for (const bucket of gained) void removeInTime(bucket);
    log.write('originBucketsTaken', { buckets: [...gained], services: [...mixed] });
  }

  async function removeInTime(bucket: number): Promise<void> {
    removals.found(bucket, (await read(bucket)) ?? new Map<string, number>());
  }

  function read(bucket: number): Promise<RemovalTimes | undefined> {
    const known = reads.get(bucket);
    if (known !== undefined && clock.now() - known.startedAt < known.holdsMs) return known.found;
    const next: BucketRead = {
      startedAt: clock.now(),
      holdsMs: READ_HOLDS_MS,
      found: readSegments(bucket).then((found) => {
        if (found === undefined) next.holdsMs = READ_RETRY_MS;
        return found;
      }),
    };
    reads.set(bucket, next);
    return next.found;
  }

  async function readSegments(bucket: number): Promise<RemovalTimes | undefined> {
    const prefix = resolveSegmentPrefix(bucket);
    const rows = await table.range({ prefix, limit: MAX_ROWS_PER_READ });
    if (rows.isErr()) {
      log.write('originRowFailed', { bucket, reason: rows.error.message });
      return undefined;
    }
    const found = new Map<string, number>();
    let streams = 0;
    for (const { key, value } of rows.value) {
      const parsed = parseSegment(value);
      if (!parsed.success) {
        log.write('originRowFailed', { bucket, key, reason: z.prettifyError(parsed.error) });
        // nobody can use it
        found.set(key, clock.now());
        continue;
      }
      streams += take(parsed.data);
      found.set(key, clock.now() + parsed.data.keepMs);
    }
    log.write('originsLoaded', { bucket, rows: rows.value.length, streams });
    return found;
  }

  /** Adds the records of a segment; returns how many there are. */
  function take({ keepMs, origins }: StoredSegment): number {
    let count = 0;
    for (const { service, version, attempts } of origins) {
      count += attempts.length;
      for (const attempt of attempts) {
        records.add(attempt, { service, version }, keepMs, clock.now());
      }
    }
    return count;
  }

  function write(): Promise<void> {
    writing = writing.then(writeWaiting);
    return writing;
  }

  function dropEarlier(): void {
    const since = clock.now() - RECENT_MS;
    recent = recent.filter(({ cameAt }) => cameAt >= since);
  }

  async function writeWaiting(): Promise<void> {
    dropEarlier();
    chooseOwn();
    const segments = [...waiting.values()].slice(0, MAX_ROWS_PER_WRITE);
    for (const [bucket, count] of removals.excess())
      log.write('originsDropped', { bucket, segments: count });
    const deletes = removals.due(clock.now(), MAX_ROWS_PER_WRITE);
    if (segments.length === 0 && deletes.length === 0) return;
    for (const { key } of segments) waiting.delete(key);
    const writes = segments.map((segment) => ({ segment, value: segment.encode() }));
    const puts = writes.map(({ segment, value }) => ({ key: segment.key, value }));
    const outcome = await table.transact({ conditions: [], puts, deletes });
    metrics.originsStored.inc({ outcome: outcome.kind }, segments.length);
    if (outcome.kind !== 'committed') {
      failed(segments, outcome.kind);
      return;
    }
    retryMs = WRITE_INTERVAL_MS;
    removed(deletes);
    for (const { segment, value } of writes)
      removals.written(segment.bucket, segment.key, clock.now() + value.keepMs);
  }

  function removed(keys: readonly string[]): void {
    removals.removed(keys);
    for (const [bucket, { key }] of open) {
      if (keys.includes(key)) open.delete(bucket);
    }
  }

  function failed(segments: readonly Segment[], outcome: string): void {
    retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
    const later = [...waiting.values()];
    waiting.clear();
    for (const segment of [...segments, ...later]) waiting.set(segment.key, segment);
    dropOldest();
    log.write('originRowFailed', { outcome, segments: segments.length, waiting: waiting.size });
  }

  return {
    recorded(attempt, origin, keepMs) {
      recent.push({ attempt, origin, keepMs, cameAt: clock.now() });
      const bucket = resolveBucket(attempt);
      if (own.has(bucket) && mixed.has(origin.service)) add(bucket, attempt, origin, keepMs);
    },
    load: async (attempt) => (await read(resolveBucket(attempt))) !== undefined,
    async start() {
      while (!signal.aborted) {
        await write();
        await wait(clock, retryMs);
      }
    },
    flush() {
      dropEarlier();
      chooseOwn();
      for (const { attempt, origin, keepMs } of recent) {
        if (mixed.has(origin.service)) add(resolveBucket(attempt), attempt, origin, keepMs);
      }
      return write();
    },
    rewrite() {
      own.clear();
      open.clear();
      waiting.clear();
      reads.clear();
    },
  };
}
