/**
 * What a gateway knows of requests under which servers ended, kept alike in all gateways: it counts what it saw itself,
 * takes in what others tell, and tells what is new.
 */
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock, Timer } from '../task/index.js';
import {
  decodeCrash,
  encodeCrash,
  toCrashRow,
  fromCrashRow,
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

/** Records that change within this time are told together, in ms: a server ends under many requests at once. */
const GATHER_MS = 5;
/** A peer whose table differs is sent this gateway's at most so often, in ms: news still under way settles most
 * differences by itself, and one that comes back from a cut has the table with its first heartbeat. */
const COMPARE_MS = 2_000;
/** Where two tables go on differing, as they do once they are full, they are compared ever more rarely, in ms. */
const MAX_COMPARE_MS = 60_000;

/** What the ledger needs. */
export interface CrashLedgerParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'bans'>;
  /** Tells all partners. */
  broadcast(message: CrashesMessage): void;
  /** Tells one peer. */
  send(node: string, message: CrashesMessage): void;
  /** A request was banned by what this gateway saw, or a ban of its was lifted here: to be kept, or not any more. */
  banChanged: (fingerprint: string) => void;
  /** A request has come to be banned. */
  banned: (fingerprint: string) => void;
  /** A request is not suspected any more. */
  cleared: (fingerprint: string) => void;
}

/** A request that no server is given any more. */
export interface Ban {
  fingerprint: string;
  crashes: number;
  /** Time until it is tried once more, in ms. */
  leftMs: number;
}

/** What was known of a request when it was sent. */
export type CrashCounts = Pick<CrashRecord, 'cleared' | 'crashes' | 'discounted'>;

/** A crash as it was counted. */
interface CountedRun extends CrashReport {
  countsAtSend: CrashCounts;
}

/** A request that was at work at a server that ended. */
export interface CrashedAttempt {
  fingerprint: string;
  server: string;
  /** What was known of it when it was sent. */
  countsAtSend: CrashCounts;
  /** When it was sent, on this gateway's clock in ms. */
  sentAt: number;
  /** Crashes that its own sends before this one came to. */
  countedBefore: number;
}

/** What a gateway knows of requests under which servers ended. */
export interface CrashLedger {
  /** Whether a request of this outline may be known. */
  mayContain: (outline: string) => boolean;
  find: (fingerprint: string) => CrashRecord | undefined;
  /** Counts a server that ended; gives the crashes of the request with it. */
  count: (run: CrashedAttempt) => number;
  /** The request was answered. */
  succeeded: (record: CrashRecord) => void;
  /** Takes in what a peer knows, or what is kept on the platform; what is new goes on to partners. */
  mergeRows: (rows: readonly CrashRow[], source: string) => void;
  received: (node: string, message: CrashesMessage) => void;
  rowsOf: (fingerprint: string) => CrashRow[];
  /** A number that is the same in all gateways that know the same. */
  digest: () => number;
  /** A peer has said its number. */
  digestReceived: (node: string, digest: number) => void;
  peerLost: (node: string) => void;
  ban: (fingerprint: string) => Ban | undefined;
  bans: () => Ban[];
  /** What is to be kept of a ban; `undefined` where there is none. */
  banRowOf: (fingerprint: string) => CrashRow | undefined;
  /** An operator lifts a ban, in all gateways; tells whether there was one. */
  lift: (fingerprint: string) => boolean;
}

/**
 * Creates a ledger without requests.
 *
 * @param parts the way to peers, and who hears
 */
export function createCrashLedger(parts: CrashLedgerParts): CrashLedger {
  const { clock, log, metrics } = parts;
  const records = createCrashRecords();
  /** What partners have not been told yet, with the server whose end changed it. */
  const untold = new Map<string, string | undefined>();
  const otherCauses = createCrashCorrelator<CountedRun>(clock, discount);
  /** When a peer whose table differs is next sent this one's. */
  const comparisons = new Map<string, { nextAt: number; pauseMs: number }>();
  let timer: Timer | undefined;

  function find(fingerprint: string): CrashRecord | undefined {
    return records.find(fingerprint, clock.now());
  }

  function count(run: CrashedAttempt): number {
    const { fingerprint, server, countsAtSend: known, countedBefore } = run;
    const counted = 1 + Math.max(known.crashes, countedBefore, countUnknown(run));
    const crashes = Math.min(CRASHES_TO_BAN, counted);
    take({ ...known, fingerprint, crashes, at: clock.now() }, { server });
    spread(fingerprint, server);
    if (isBan(find(fingerprint))) parts.banChanged(fingerprint);
    otherCauses.counted({ server, fingerprint, crashes, countsAtSend: known });
    return counted;
  }

  /** Crashes before a send that were not known here yet when it was sent. */
  function countUnknown({ fingerprint, countsAtSend: known, sentAt }: CrashedAttempt): number {
    const record = find(fingerprint);
    if (record?.cleared !== known.cleared) return 0;
    return sentAt > record.at ? record.crashes : 0;
  }

  /** Takes a count back: something else has ended the server. */
  function discount({ fingerprint, server, countsAtSend: known }: CountedRun): void {
    const record = find(fingerprint);
    if (record === undefined || record.discounted >= MAX_DISCOUNTED) return;
    // it was cleared or discounted meanwhile
    if (record.cleared !== known.cleared || record.crashes === 0) return;
    const crashes = record.crashes - 1;
    const [cleared, discounted] = [record.cleared + 1, record.discounted + 1];
    const wasBanned = isBan(record);
    take({ fingerprint, cleared, crashes, discounted, at: clock.now() }, { discounted: server });
    if (wasBanned) parts.banChanged(fingerprint);
  }

  /** Takes a record in, and acts on it where it is news. */
  function take(record: CrashRecord, source: Record<string, string>): void {
    const before = find(record.fingerprint);
    if (!records.merge(record, clock.now())) return;
    const { fingerprint, cleared, crashes } = record;
    const ageMs = Math.round(clock.now() - record.at);
    log.write('crashesKnown', { fingerprint, crashes, cleared, ageMs, ...source });
    spread(fingerprint);
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

  function spread(fingerprint: string, server?: string): void {
    untold.set(fingerprint, server ?? untold.get(fingerprint));
    timer ??= clock.after(GATHER_MS, () => {
      timer = undefined;
      tell();
    });
  }

  function tell(): void {
    const news: CrashRow[] = [];
    for (const [fingerprint, server] of untold) {
      const record = find(fingerprint);
      if (record !== undefined) news.push({ ...toCrashRow(record, clock.now()), server });
    }
    untold.clear();
    if (news.length > 0) parts.broadcast({ kind: 'crashes', records: news.map(encodeCrash) });
  }

  function clear(record: CrashRecord, by: string): void {
    const { fingerprint, cleared } = record;
    const wasBanned = isBan(record);
    const at = clock.now();
    take({ fingerprint, cleared: cleared + 1, crashes: 0, discounted: 0, at }, { by });
    if (wasBanned) parts.banChanged(fingerprint);
  }

  function resolveBan(record: CrashRecord | undefined): Ban | undefined {
    if (record === undefined || !isBan(record)) return undefined;
    const { fingerprint, crashes } = record;
    return { fingerprint, crashes, leftMs: resolveDecayMs(record, clock.now()) };
  }

  function rowsOf(fingerprint: string): CrashRow[] {
    const record = find(fingerprint);
    return record === undefined ? [] : [toCrashRow(record, clock.now())];
  }

  function learn(rows: readonly CrashRow[], source: string): void {
    for (const row of rows) {
      take(fromCrashRow(row, clock.now()), { source });
      const { server, fingerprint, crashes } = row;
      if (server !== undefined) otherCauses.reported({ server, fingerprint, crashes });
    }
  }

  return {
    mayContain: records.mayContain,
    find,
    count,
    succeeded(record) {
      clear(record, 'success');
    },
    mergeRows: learn,
    received(node, message) {
      learn(message.records.map(decodeCrash), node);
    },
    rowsOf,
    peerLost: (node) => comparisons.delete(node),
    ban: (fingerprint) => resolveBan(find(fingerprint)),
    digest: records.digest,
    digestReceived(node, digest) {
      const now = clock.now();
      if (digest === records.digest()) {
        comparisons.delete(node);
        return;
      }
      const { nextAt, pauseMs } = comparisons.get(node) ?? { nextAt: now, pauseMs: COMPARE_MS };
      if (now < nextAt) return;
      const next = { nextAt: now + pauseMs, pauseMs: Math.min(MAX_COMPARE_MS, 2 * pauseMs) };
      comparisons.set(node, next);
      const rows = records.list(now).map((record) => encodeCrash(toCrashRow(record, now)));
      if (rows.length > 0) parts.send(node, { kind: 'crashes', records: rows });
    },
    bans() {
      const found: Ban[] = [];
      for (const record of records.list(clock.now())) {
        const ban = resolveBan(record);
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
