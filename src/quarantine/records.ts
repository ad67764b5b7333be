/**
 * Bounded table of crash counts by request. Records merge commutatively and idempotently, so all gateways converge
 * without agreement.
 *
 * A crash sets the count to one more than the count when the request was sent. So servers that crash at one moment, as
 * when an availability zone loses power, count once for a page that is requested everywhere, while a request that is
 * repeated after its crash was known counts again. A success of the request resets its count to zero.
 */
import { hashName } from '../gossip/index.js';
import { resolvePrefix } from './fingerprint.js';

/** Crash count at which a request is banned. Two crashes may be chance; each further one costs the answers of all
 * requests on the server. */
export const CRASHES_TO_BAN = 3;
/** Time without another crash after which a count falls by one, in ms. A banned request may then be
 * tried once more, so that a wrong ban does not last. */
const DECAY_MS = 15 * 60_000;
/** Maximum number of records; each takes about 100 bytes in a message. */
export const MAX_RECORDS = 256;
/** Maximum number of evicted records that are remembered for as long as peers may still send them. Otherwise gateways
 * with full tables send each other's evicted records back and forth without end. */
const MAX_EVICTED = 8 * MAX_RECORDS;
/** Maximum number of discounted crashes per request: two requests that always run together would discount each other. */
export const MAX_DISCOUNTED = 2;
/** Times of the same crash differ between gateways by the message delay; only a greater difference counts as a change,
 * in ms. */
const SAME_MOMENT_MS = 1_500;

/** Crash counts of one request. */
export interface CrashRecord {
  /** As returned by `Fingerprint.full`. */
  fingerprint: string;
  /** Number of times that the count was cleared or discounted. A higher number supersedes all lower ones. */
  cleared: number;
  /** Crashes counted since the last clearing. */
  crashes: number;
  /** Crashes that were not counted because they had another cause. */
  discounted: number;
  /** Time of the last change, on this gateway's clock in ms. */
  at: number;
}

/** Crash records of one gateway. */
export interface CrashRecords {
  /** Whether a request with this fingerprint prefix may have a record. */
  mayContain: (prefix: string) => boolean;
  /** A request's record after decay; `undefined` if there is none. */
  find(fingerprint: string, now: number): CrashRecord | undefined;
  /** Merges a record; returns whether it changed the table. */
  merge(record: CrashRecord, now: number): boolean;
  /** All records after decay. */
  list(now: number): CrashRecord[];
  /** Digest of the records; equal in gateways with equal records, and 0 without records. */
  digest: () => number;
}

/** Time until the count of a record falls by one, in ms. */
export function resolveDecayMs({ at }: CrashRecord, now: number): number {
  return Math.max(0, at + DECAY_MS - now);
}

/** Creates an empty table. */
export function createCrashRecords(): CrashRecords {
  const records = new Map<string, CrashRecord>();
  const prefixCounts = new Map<string, number>();
  /** In the order of eviction. */
  const evicted = new Map<string, CrashRecord>();
  let digest: number | undefined;

  function put(record: CrashRecord): void {
    remove(record.fingerprint);
    records.set(record.fingerprint, record);
    const prefix = resolvePrefix(record.fingerprint);
    prefixCounts.set(prefix, (prefixCounts.get(prefix) ?? 0) + 1);
    digest = undefined;
  }

  function remove(fingerprint: string): void {
    if (!records.delete(fingerprint)) return;
    const prefix = resolvePrefix(fingerprint);
    const left = (prefixCounts.get(prefix) ?? 0) - 1;
    if (left > 0) prefixCounts.set(prefix, left);
    else prefixCounts.delete(prefix);
    digest = undefined;
  }

  function find(fingerprint: string, now: number): CrashRecord | undefined {
    const record = records.get(fingerprint);
    if (record === undefined) return undefined;
    const decayed = decay(record, now);
    if (decayed === record) return record;
    if (decayed === undefined) remove(fingerprint);
    else put(decayed);
    return decayed;
  }

  /** Evicts the record with the fewest crashes, and of equals the oldest. */
  function evictLeast(): void {
    let least: CrashRecord | undefined;
    for (const record of records.values()) {
      if (least === undefined || compareWeight(record, least) < 0) least = record;
    }
    if (least === undefined) return;
    remove(least.fingerprint);
    evicted.delete(least.fingerprint);
    evicted.set(least.fingerprint, least);
    const [oldest] = evicted.keys();
    if (evicted.size > MAX_EVICTED && oldest !== undefined) evicted.delete(oldest);
  }

  return {
    mayContain: (prefix) => prefixCounts.has(prefix),
    find,
    merge(record, now) {
      const decayed = decay(record, now);
      if (decayed === undefined) return false;
      const known = find(decayed.fingerprint, now) ?? evicted.get(decayed.fingerprint);
      if (known !== undefined && !isNewer(decayed, known)) return false;
      evicted.delete(decayed.fingerprint);
      put(decayed);
      if (records.size > MAX_RECORDS) evictLeast();
      return records.has(decayed.fingerprint);
    },
    list(now) {
      const found: CrashRecord[] = [];
      for (const fingerprint of [...records.keys()]) {
        const record = find(fingerprint, now);
        if (record !== undefined) found.push(record);
      }
      return found;
    },
    digest() {
      digest ??= resolveDigest(records.values());
      return digest;
    },
  };
}

/** The record after decay. A cleared record is kept for the same time, so that an older count does not come back from a
 * peer. */
function decay(record: CrashRecord, now: number): CrashRecord | undefined {
  const steps = Math.floor((now - record.at) / DECAY_MS);
  if (steps <= 0) return record;
  const crashes = record.crashes - steps;
  return crashes > 0 ? { ...record, crashes, at: record.at + steps * DECAY_MS } : undefined;
}

function isNewer(record: CrashRecord, known: CrashRecord): boolean {
  if (record.cleared !== known.cleared) return record.cleared > known.cleared;
  if (record.crashes !== known.crashes) return record.crashes > known.crashes;
  return record.at > known.at + SAME_MOMENT_MS;
}

function compareWeight(left: CrashRecord, right: CrashRecord): number {
  return left.crashes === right.crashes ? left.at - right.at : left.crashes - right.crashes;
}

function resolveDigest(records: Iterable<CrashRecord>): number {
  let sum = 0;
  for (const { fingerprint, cleared, crashes } of records) {
    sum = (sum + hashName(`${fingerprint}/${cleared}/${crashes}`)) >>> 0;
  }
  return sum;
}
