/**
 * What may crash the servers that run a request: the request as a whole, and each part of its prompt that other requests
 * may share. Also decides whether the request may run, given how often servers have crashed under each.
 *
 * Parts are shared with sound requests. Those of a request that is lost are suspected together, also the innocent ones
 * that nobody has seen succeed lately, and may come to be banned together. So a request that has only some of the parts
 * that were banned for one crash may still run, one at a time: its success clears them, and a crash tells which it was.
 */
import type { Ban, CrashCounts, CrashLedger } from './crash-ledger.js';
import type { Fingerprint } from './fingerprint.js';
import { createPartKey, isPartKey } from './part-keys.js';
import type { CrashRecord } from './records.js';

/** Times of the records of one crash differ by less, in ms, at gateways that heard of it from others. */
const SAME_CRASH_MS = 100;

/** Content of a request that may crash servers. */
export interface SuspectTerms {
  fingerprint: Fingerprint;
  service: string;
  /** Ids of the parts of its prompt that other requests may share. */
  sharedParts: readonly string[];
}

/** What may crash the servers that run one request. */
export interface Suspects {
  /** Keys of the shared parts of the prompt. */
  partKeys: readonly string[];
  /** The keys of the request and its parts. Hashes the body. */
  listKeys(): string[];
  /** Records of the request and its parts, without hashing the body unless there is a similar request's. */
  listRecords(): CrashRecord[];
  /** Counts by key, for those that have a record. */
  readCounts(): Map<string, CrashCounts>;
  /** Whether the request as a whole is banned, whatever its parts. */
  isRequestBanned(): boolean;
  /** Why the request may not run now; `undefined` if it may. */
  findBan(): Ban | undefined;
  /** The record with the most crashes, of which the request has to run on trial; `undefined` if it need not. */
  findTrialRecord(): CrashRecord | undefined;
}

/** What suspects need. */
export type SuspectsLedger = Pick<CrashLedger, 'mayContain' | 'find' | 'ban' | 'list'>;

/**
 * Finds what may crash the servers that run a request.
 *
 * @param ledger the crash records
 * @param terms the request's content
 */
export function createSuspects(ledger: SuspectsLedger, terms: SuspectTerms): Suspects {
  const { fingerprint, service } = terms;
  const partKeys = terms.sharedParts.map((id) => createPartKey(service, id));

  function findRequestRecord(): CrashRecord | undefined {
    return ledger.mayContain(fingerprint.prefix()) ? ledger.find(fingerprint.full()) : undefined;
  }

  function listRecords(): CrashRecord[] {
    const records: CrashRecord[] = [];
    const ofRequest = findRequestRecord();
    if (ofRequest !== undefined) records.push(ofRequest);
    for (const key of partKeys) {
      const record = ledger.find(key);
      if (record !== undefined) records.push(record);
    }
    return records;
  }

  function findBan(): Ban | undefined {
    const records = listRecords();
    for (const record of records) {
      const ban = ledger.ban(record.fingerprint);
      if (ban !== undefined && !isFewerThanBanned(record, records)) return ban;
    }
    return undefined;
  }

  /** Whether a part was banned along with others, for the same crash, that the request has not: then the request may
   * still clear the part. */
  function isFewerThanBanned(record: CrashRecord, own: readonly CrashRecord[]): boolean {
    if (!isPartKey(record.fingerprint)) return false;
    function isBannedAlong(other: CrashRecord): boolean {
      const isSameCrash = Math.abs(other.at - record.at) < SAME_CRASH_MS;
      return isSameCrash && isPartKey(other.fingerprint) && other.crashes >= record.crashes;
    }
    return own.filter(isBannedAlong).length < ledger.list().filter(isBannedAlong).length;
  }

  return {
    partKeys,
    listKeys: () => [fingerprint.full(), ...partKeys],
    listRecords,
    readCounts() {
      return new Map(listRecords().map((record) => [record.fingerprint, record]));
    },
    isRequestBanned: () => ledger.ban(fingerprint.full()) !== undefined,
    findBan,
    findTrialRecord() {
      let most: CrashRecord | undefined;
      // of equals the first, so that requests with the same parts are on trial for the same one
      for (const record of listRecords()) {
        if (record.crashes > (most?.crashes ?? 0)) most = record;
      }
      return most;
    },
  };
}
