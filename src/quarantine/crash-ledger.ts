/**
 * Replicated crash records of one gateway. It counts the crashes seen here, merges the records of its peers, and sends
 * changes to them, so that all gateways converge to the same records.
 */
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock, Timer } from '../task/index.js';
import {
  decodeCrash,
  encodeCrash,
  fromCrashRow,
  toCrashRow,
  type CrashesMessage,
  type CrashRow,
} from './messages.js';
import { createCrashCorrelator, type CrashReport } from './crash-correlator.js';
import {
  createCrashRecords,
  CRASHES_TO_BAN,
  MAX_DISCOUNTED,
  resolveDecayMs,
  type CrashRecord,
} from './records.js';

/** Changes within this time are sent in one message, in ms: many requests run on a server that crashes. */
const BATCH_MS = 5;
/** Interval at which all records are sent to a peer whose digest differs, in ms. Updates in transit resolve most
 * differences. The first heartbeat of a peer that reconnects triggers it at once. */
const SYNC_INTERVAL_MS = 2_000;
/** Upper bound of the interval, which doubles while the digests differ, in ms: full tables may never become equal. */
const MAX_SYNC_INTERVAL_MS = 60_000;

/** Dependencies of the crash ledger. */
export interface CrashLedgerParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'bans'>;
  /** Sends a message to all partners. */
  broadcast(message: CrashesMessage): void;
  /** Sends a message to one peer. */
  send(node: string, message: CrashesMessage): void;
  /** A ban was set or lifted by this gateway; its stored row is out of date. */
  banChanged: (fingerprint: string) => void;
  /** Whether a success that this gateway has seen excuses what a fingerprint stands for of a crash that another gateway
   * has counted. */
  excuses: (fingerprint: string, server: string | undefined) => boolean;
  /** A request has been banned, by any gateway. */
  banned: (fingerprint: string) => void;
  /** A request's crash count has returned to zero. */
  cleared: (fingerprint: string) => void;
}

/** A request that may not be sent to any server. */
export interface Ban {
  fingerprint: string;
  crashes: number;
  /** Time until the request may be tried once more, in ms. */
  leftMs: number;
}

/** Counts of a request's record at the time it was sent. */
export type CrashCounts = Pick<CrashRecord, 'cleared' | 'crashes' | 'discounted'>;

/** A crash that this gateway has counted. */
interface CountedCrash extends CrashReport {
  countsAtSend: CrashCounts;
}

/** An attempt of a request that was running on a server when the server crashed. */
export interface CrashedAttempt {
  fingerprint: string;
  server: string;
  countsAtSend: CrashCounts;
  /** When the attempt was sent, on this gateway's clock in ms. */
  sentAt: number;
  /** Crash count that the request's own earlier attempts have led to. */
  countedBefore: number;
}

/** Replicated crash records of one gateway. */
export interface CrashLedger {
  /** Whether a request with this fingerprint prefix may have a record. */
  mayContain: (prefix: string) => boolean;
  find: (fingerprint: string) => CrashRecord | undefined;
  list: () => CrashRecord[];
  /** Counts a crash; returns the request's crash count including it. */
  count: (attempt: CrashedAttempt) => number;
  /** Clears the record of a request that was answered with success. */
  succeeded: (record: CrashRecord) => void;
  /** Merges the rows of a peer or of the platform, and sends changes on to partners. */
  mergeRows: (rows: readonly CrashRow[], source: string) => void;
  received: (node: string, message: CrashesMessage) => void;
  rowsOf: (fingerprint: string) => CrashRow[];
  /** Digest of the records; equal in gateways with equal records. */
  digest: () => number;
  /** A peer has sent its digest. */
  digestReceived: (node: string, digest: number) => void;
  peerLost: (node: string) => void;
  ban: (fingerprint: string) => Ban | undefined;
  bans: () => Ban[];
  /** The row to store for a banned request; `undefined` if the request is not banned. */
  banRowOf: (fingerprint: string) => CrashRow | undefined;
  /** Clears a request's record in all gateways, on an operator's behalf; returns whether it had crashes. */
  lift: (fingerprint: string) => boolean;
}

/**
 * Creates a ledger without records.
 *
 * @param parts the connections to peers, and the callbacks for changes
 */
export function createCrashLedger(parts: CrashLedgerParts): CrashLedger {
  const { clock, log, metrics } = parts;
  const records = createCrashRecords();
  /** Changed records that were not sent yet, each with the server whose crash changed it. */
  const unsent = new Map<string, string | undefined>();
  const correlator = createCrashCorrelator<CountedCrash>(clock, discount);
  /** For each peer with a different digest, when it is next sent all records. */
  const syncs = new Map<string, { nextAt: number; pauseMs: number }>();
  let timer: Timer | undefined;

  function find(fingerprint: string): CrashRecord | undefined {
    return records.find(fingerprint, clock.now());
  }

  function count(attempt: CrashedAttempt): number {
    const { fingerprint, server, countsAtSend, countedBefore } = attempt;
    const counted = 1 + Math.max(countsAtSend.crashes, countedBefore, countLateCrashes(attempt));
    const crashes = Math.min(CRASHES_TO_BAN, counted);
    merge({ ...countsAtSend, fingerprint, crashes, at: clock.now() }, { server });
    scheduleSend(fingerprint, server);
    if (isBan(find(fingerprint))) parts.banChanged(fingerprint);
    correlator.counted({ server, fingerprint, crashes, countsAtSend });
    return counted;
  }

  /** Crashes that happened before an attempt was sent but were reported here only afterwards. */
  function countLateCrashes({ fingerprint, countsAtSend, sentAt }: CrashedAttempt): number {
    const record = find(fingerprint);
    if (record?.cleared !== countsAtSend.cleared) return 0;
    return sentAt > record.at ? record.crashes : 0;
  }

  /** Reverts the count of a crash that had another cause. */
  function discount({ fingerprint, server, countsAtSend }: CountedCrash): void {
    const record = find(fingerprint);
    if (record === undefined || record.discounted >= MAX_DISCOUNTED) return;
    // the record was cleared or discounted in the meantime
    if (record.cleared !== countsAtSend.cleared || record.crashes === 0) return;
    const crashes = record.crashes - 1;
    const [cleared, discounted] = [record.cleared + 1, record.discounted + 1];
    const wasBanned = isBan(record);
    merge({ fingerprint, cleared, crashes, discounted, at: clock.now() }, { discounted: server });
    if (wasBanned) parts.banChanged(fingerprint);
  }

  /** Merges a record, and reports and sends it if that changed anything. */
  function merge(record: CrashRecord, source: Record<string, string>): void {
    const before = find(record.fingerprint);
    if (!records.merge(record, clock.now())) return;
    const { fingerprint, cleared, crashes } = record;
    const ageMs = Math.round(clock.now() - record.at);
    log.write('crashesKnown', { fingerprint, crashes, cleared, ageMs, ...source });
    scheduleSend(fingerprint);
    if (crashes === 0) parts.cleared(fingerprint);
    if (!isBan(record) || isBan(before)) return;
    log.write('requestBanned', {
      fingerprint,
      crashes,
      forMs: resolveDecayMs(record, clock.now()),
    });
    metrics.bans.inc();
    parts.banned(fingerprint);
  }

  function scheduleSend(fingerprint: string, server?: string): void {
    unsent.set(fingerprint, server ?? unsent.get(fingerprint));
    timer ??= clock.after(BATCH_MS, () => {
      timer = undefined;
      sendChanges();
    });
  }

  function sendChanges(): void {
    const rows: CrashRow[] = [];
    for (const [fingerprint, server] of unsent) {
      const record = find(fingerprint);
      if (record !== undefined) rows.push({ ...toCrashRow(record, clock.now()), server });
    }
    unsent.clear();
    if (rows.length > 0) parts.broadcast({ kind: 'crashes', records: rows.map(encodeCrash) });
  }

  function clear(record: CrashRecord, by: string): void {
    const { fingerprint, cleared } = record;
    const wasBanned = isBan(record);
    const at = clock.now();
    merge({ fingerprint, cleared: cleared + 1, crashes: 0, discounted: 0, at }, { by });
    if (wasBanned) parts.banChanged(fingerprint);
  }

  function toBan(record: CrashRecord | undefined): Ban | undefined {
    if (record === undefined || !isBan(record)) return undefined;
    const { fingerprint, crashes } = record;
    return { fingerprint, crashes, leftMs: resolveDecayMs(record, clock.now()) };
  }

  function rowsOf(fingerprint: string): CrashRow[] {
    const record = find(fingerprint);
    return record === undefined ? [] : [toCrashRow(record, clock.now())];
  }

  function mergeRow(row: CrashRow, source: string): void {
    const record = fromCrashRow(row, clock.now());
    const isExcused = row.crashes > 0 && parts.excuses(row.fingerprint, row.server);
    if (isExcused) clear(record, 'earlier success');
    else merge(record, { source });
  }

  function mergeRows(rows: readonly CrashRow[], source: string): void {
    for (const row of rows) {
      mergeRow(row, source);
      const { server, fingerprint, crashes } = row;
      if (server !== undefined) correlator.reported({ server, fingerprint, crashes });
    }
  }

  return {
    mayContain: records.mayContain,
    find,
    list: () => records.list(clock.now()),
    count,
    succeeded(record) {
      clear(record, 'success');
    },
    mergeRows,
    received(node, message) {
      mergeRows(message.records.map(decodeCrash), node);
    },
    rowsOf,
    peerLost: (node) => syncs.delete(node),
    ban: (fingerprint) => toBan(find(fingerprint)),
    digest: records.digest,
    digestReceived(node, digest) {
      const now = clock.now();
      if (digest === records.digest()) {
        syncs.delete(node);
        return;
      }
      const { nextAt, pauseMs } = syncs.get(node) ?? { nextAt: now, pauseMs: SYNC_INTERVAL_MS };
      if (now < nextAt) return;
      const next = { nextAt: now + pauseMs, pauseMs: Math.min(MAX_SYNC_INTERVAL_MS, 2 * pauseMs) };
      syncs.set(node, next);
      const rows = records.list(now).map((record) => encodeCrash(toCrashRow(record, now)));
      if (rows.length > 0) parts.send(node, { kind: 'crashes', records: rows });
    },
    bans() {
      const found: Ban[] = [];
      for (const record of records.list(clock.now())) {
        const ban = toBan(record);
        if (ban !== undefined) found.push(ban);
      }
      return found;
    },
    banRowOf(fingerprint) {
      const record = find(fingerprint);
      if (record === undefined || !isBan(record)) return undefined;
      return toCrashRow(record, clock.now());
    },
    lift(fingerprint) {
      const record = find(fingerprint);
      if (record === undefined || record.crashes === 0) return false;
      clear(record, 'operator');
      return true;
    },
  };
}

function isBan(record: CrashRecord | undefined): boolean {
  return record !== undefined && record.crashes >= CRASHES_TO_BAN;
}
