/**
 * How often servers have ended under which requests: a bounded table that all gateways keep alike. Records merge in
 * any order and any number of times to the same result, so nothing has to be agreed on.
 *
 * A crash counts one more than those before the request was sent. So servers that end at one moment, as when
 * an availability zone loses its power, count once for a page that is asked for everywhere, while a request that is
 * sent again after its crash was known counts again. A success of the same request sets its count to zero.
 */
import { hashName } from '../gossip/index.js';
import { resolvePrefix } from './fingerprint.js';

/** Crashes, each sent after the one before was known, after which a request is banned: a second may be chance where servers
 * end often, and each further one takes the answers of all who are served beside it. */
export const CRASHES_TO_BAN = 3;
/** A count falls by one after so long without another crash, in ms: callers that repeat a request give up or have
 * mended it by then, and a ban that was wrong does not last. What still ends servers ends one each time. */
const FADE_MS = 15 * 60_000;
/** Records at most, each of some 100 bytes on its way: the requests at work at sixteen servers. It takes the end of a
 * server to get in. */
export const MAX_RECORDS = 256;
/** Records that had to make room and are remembered as such, as long as peers may still tell of them. Otherwise two full
 * tables send each other's evicted records to and fro, 770 MB a gateway after a hundred servers had ended (60 gateways
 * in virtual time). */
const MAX_EVICTED = 8 * MAX_RECORDS;
/** So many crashes of a request are discounted at most: two that always come together would discount each other. */
export const MAX_DISCOUNTED = 2;
/** Two gateways' times of the same crash differ by the way between them; only a greater difference is news, in ms. */
const SAME_MOMENT_MS = 1_500;

/** What is known of one request. */
export interface CrashRecord {
  /** As `Fingerprint.whole` gives it. */
  fingerprint: string;
  /** How often a success or an operator has cleared it: what was counted before holds no more. */
  cleared: number;
  /** Crashes counted since then. */
  crashes: number;
  /** Crashes that were not counted, since something else explained them. */
  discounted: number;
  /** Last change, on this gateway's clock in ms. */
  at: number;
}

/** The table of one gateway. */
export interface CrashRecords {
  /** Whether a request of this outline may be in the table. */
  mayContain: (outline: string) => boolean;
  /** What is known of a request by now; `undefined` for nothing. */
  find(fingerprint: string, now: number): CrashRecord | undefined;
  /** Takes a record in; tells whether it is news. */
  merge(record: CrashRecord, now: number): boolean;
  /** All that is known by now. */
  list(now: number): CrashRecord[];
  /** A number that is the same in all gateways that know the same; 0 where nothing is known. */
  digest: () => number;
}

/** Time until the count of a record falls by one, in ms. */
export function resolveDecayMs({ at }: CrashRecord, now: number): number {
  return Math.max(0, at + FADE_MS - now);
}

/** Creates an empty table. */
export function createCrashRecords(): CrashRecords {
  const records = new Map<string, CrashRecord>();
  const outlines = new Map<string, number>();
  /** The oldest first. */
  const evicted = new Map<string, CrashRecord>();
  let digest: number | undefined;

  function put(record: CrashRecord): void {
    remove(record.fingerprint);
    records.set(record.fingerprint, record);
    const outline = resolvePrefix(record.fingerprint);
    outlines.set(outline, (outlines.get(outline) ?? 0) + 1);
    digest = undefined;
  }

  function remove(fingerprint: string): void {
    if (!records.delete(fingerprint)) return;
    const outline = resolvePrefix(fingerprint);
    const left = (outlines.get(outline) ?? 0) - 1;
    if (left > 0) outlines.set(outline, left);
    else outlines.delete(outline);
    digest = undefined;
  }

  function find(fingerprint: string, now: number): CrashRecord | undefined {
    const record = records.get(fingerprint);
    if (record === undefined) return undefined;
    const faded = fade(record, now);
    if (faded === record) return record;
    if (faded === undefined) remove(fingerprint);
    else put(faded);
    return faded;
  }

  /** The least telling record goes first, and of equals the oldest. */
  function makeRoom(): void {
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
    mayContain: (outline) => outlines.has(outline),
    find,
    merge(record, now) {
      const taken = fade(record, now);
      if (taken === undefined) return false;
      const known = find(taken.fingerprint, now) ?? evicted.get(taken.fingerprint);
      if (known !== undefined && !isNewer(taken, known)) return false;
      evicted.delete(taken.fingerprint);
      put(taken);
      if (records.size > MAX_RECORDS) makeRoom();
      return records.has(taken.fingerprint);
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

/** The record as it counts by now. One that was cleared is remembered too, so that what was counted before does not
 * come back from a peer. */
function fade(record: CrashRecord, now: number): CrashRecord | undefined {
  const steps = Math.floor((now - record.at) / FADE_MS);
  if (steps <= 0) return record;
  const crashes = record.crashes - steps;
  return crashes > 0 ? { ...record, crashes, at: record.at + steps * FADE_MS } : undefined;
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
