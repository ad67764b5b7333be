/**
 * Keeps requests away from servers once servers have ended under them, in the whole fleet. Each gateway counts the
 * servers that ended while a request of its own was at work there, tells its peers, and takes in what they tell; a
 * request whose count reaches the limit is refused by all, whatever its id and wherever it comes in.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock, Timer } from '../task/index.js';
import { createCrashEvidence, type CrashSign, type ServerProbe } from './crash-evidence.js';
import type { Fingerprint } from './fingerprint.js';
import {
  decodeCrash,
  encodeCrash,
  packCrash,
  unpackCrash,
  type CrashesMessage,
  type CrashRow,
} from './messages.js';
import { createOtherCauses, type EndedRun } from './other-causes.js';
import {
  createCrashRecords,
  CRASHES_TO_BAN,
  MAX_EXCUSED,
  resolveFadeMs,
  type CrashRecord,
} from './records.js';
import { createTrials, type Trial, type TrialMessage } from './trials.js';

/** Records that change within this time are told together, in ms: a server ends under many requests at once. */
const GATHER_MS = 5;
/** A peer whose table differs is sent this gateway's at most so often, in ms: news still under way settles most
 * differences by itself, and one that comes back from a cut has the table with its first heartbeat. */
const COMPARE_MS = 2_000;
/** Where two tables go on differing, as they do once they are full, they are compared ever more rarely, in ms. */
const MAX_COMPARE_MS = 60_000;

/** What the quarantine needs. */
export interface QuarantineParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'crashesCounted' | 'bans'>;
  probe: ServerProbe;
  node: string;
  /** The gateway that keeps the desk of a service's trials. */
  deskOf(service: string): string;
  /** Tells all partners. */
  tellPartners(message: CrashesMessage): void;
  /** Tells one peer. */
  send(node: string, message: CrashesMessage | TrialMessage): void;
  /** A request was banned by what this gateway saw, or a ban of its was lifted here: to be kept, or not any more. */
  banChanged: (fingerprint: string) => void;
}

/** A request that no server is given any more. */
export interface Ban {
  fingerprint: string;
  crashes: number;
  /** Time until it is tried once more, in ms. */
  leftMs: number;
}

/** One send of a request, or one reading of its prompt. */
export interface WatchedSend {
  /** The server's answer was lost; fulfilled once it was looked whether the server has ended. */
  lost(): Promise<void>;
}

/** Whether a request may go to a server now. */
export type Admission = 'admitted' | 'busy' | 'aborted';

/** A request at this gateway. */
export interface WatchedRequest {
  /** Why no server may be given it, if so. */
  ban(): Ban | undefined;
  /** Waits for its turn, if a server has ended under it. */
  admit(signal: AbortSignal): Promise<Admission>;
  /** Servers that are left to others under which servers ended, where there is another one. */
  beside(): readonly string[];
  /** It goes to a server. */
  sent: (server: RegisteredServer) => WatchedSend;
  /** A server has answered it whole and with success. */
  succeeded(): void;
  /** It has ended. */
  ended: () => void;
}

/** Requests under which servers ended. */
export interface Quarantine {
  /**
   * A request for a service has come.
   *
   * @param banned called when it is banned while it is here
   */
  watch(fingerprint: Fingerprint, service: string, banned: () => void): WatchedRequest;
  /** The registry has no entry of a server any more. */
  serverGone: (id: string, hasSuccessor: boolean) => void;
  /** Takes in what a peer knows, or what is kept on the platform; what is new goes on to partners. */
  learn: (rows: readonly CrashRow[], source: string) => void;
  received: (node: string, message: CrashesMessage | TrialMessage) => void;
  /** A peer was lost. */
  peerLost: (node: string) => void;
  /** A number that is the same in all gateways that know the same. */
  digest: () => number;
  /** A peer has said its number. */
  heardDigest: (node: string, digest: number) => void;
  bans: () => Ban[];
  /** What is to be kept of a ban; `undefined` where there is none. */
  recordOf: (fingerprint: string) => CrashRow | undefined;
  /** An operator lifts a ban, in all gateways; tells whether there was one. */
  lift: (fingerprint: string) => boolean;
}

/** What was known of a request when it was sent. */
type KnownCrashes = Pick<CrashRecord, 'cleared' | 'crashes' | 'excused'>;

/** A crash as it was counted. */
interface CountedRun extends EndedRun {
  known: KnownCrashes;
}

/** A send whose answer was lost. */
interface Loss {
  fingerprint: Fingerprint;
  known: KnownCrashes;
  sentAt: number;
  /** The last loss of the same request before this send: it may be counted only after it. */
  before: Loss | undefined;
  counted: number;
}

const nothingKnown: KnownCrashes = { cleared: 0, crashes: 0, excused: 0 };

/**
 * Creates a quarantine that knows of no request.
 *
 * @param parts the way to servers and peers
 */
export function createQuarantine(parts: QuarantineParts): Quarantine {
  const { clock, log, metrics } = parts;
  const records = createCrashRecords();
  const present = new Map<Fingerprint, () => void>();
  /** What partners have not been told yet, with the server whose end changed it. */
  const untold = new Map<string, string | undefined>();
  const otherCauses = createOtherCauses<CountedRun>(clock, excuse);
  /** When a peer whose table differs is next sent this one's. */
  const comparisons = new Map<string, { nextAt: number; pauseMs: number }>();
  let timer: Timer | undefined;
  const evidence = createCrashEvidence<Loss>({
    clock,
    log,
    probe: parts.probe,
    confirmed: count,
  });
  const trials = createTrials({
    clock,
    log,
    node: parts.node,
    deskOf: (service) => parts.deskOf(service),
    send(peer, message) {
      parts.send(peer, message);
    },
    rowsOf,
    learn,
  });

  /** Bodies are looked at only where a request of the same outline is known. */
  function find(fingerprint: Fingerprint): CrashRecord | undefined {
    if (!records.mayKnow(fingerprint.outline())) return undefined;
    return records.find(fingerprint.whole(), clock.now());
  }

  function count(loss: Loss, server: RegisteredServer, sign: CrashSign): void {
    const { known, before } = loss;
    loss.counted = 1 + Math.max(known.crashes, before?.counted ?? 0, countBefore(loss));
    metrics.crashesCounted.inc({ sign });
    const fingerprint = loss.fingerprint.whole();
    const crashes = Math.min(CRASHES_TO_BAN, loss.counted);
    take({ ...known, fingerprint, crashes, at: clock.now() }, { server: server.id, sign });
    spread(fingerprint, server.id);
    if (isBan(records.find(fingerprint, clock.now()))) parts.banChanged(fingerprint);
    otherCauses.counted({ server: server.id, fingerprint, crashes, known });
  }

  /** Crashes before a send that were not known here yet when it was sent. */
  function countBefore({ fingerprint, known, sentAt }: Loss): number {
    const record = records.find(fingerprint.whole(), clock.now());
    if (record?.cleared !== known.cleared) return 0;
    return sentAt > record.at ? record.crashes : 0;
  }

  /** Takes a count back: something else has ended the server. */
  function excuse({ fingerprint, server, known }: CountedRun): void {
    const record = records.find(fingerprint, clock.now());
    if (record === undefined || record.excused >= MAX_EXCUSED) return;
    if (record.crashes <= known.crashes) return;
    const { crashes } = known;
    const [cleared, excused] = [record.cleared + 1, record.excused + 1];
    const wasBanned = isBan(record);
    take({ fingerprint, cleared, crashes, excused, at: clock.now() }, { excused: server });
    if (wasBanned) parts.banChanged(fingerprint);
  }

  /** Takes a record in, and acts on it where it is news. */
  function take(record: CrashRecord, source: Record<string, string>): void {
    const before = records.find(record.fingerprint, clock.now());
    if (!records.merge(record, clock.now())) return;
    const { fingerprint, cleared, crashes } = record;
    const ageMs = Math.round(clock.now() - record.at);
    log.write('crashesKnown', { fingerprint, crashes, cleared, ageMs, ...source });
    spread(fingerprint);
    if (crashes === 0) trials.cleared(fingerprint);
    if (!isBan(record) || isBan(before)) return;
    log.write('requestBanned', { fingerprint, crashes, forMs: resolveFadeMs(record, clock.now()) });
    metrics.bans.inc();
    stopPresent(fingerprint);
  }

  /** What waits here, or is under way, is not to end another server. */
  function stopPresent(whole: string): void {
    const known = records.find(whole, clock.now());
    for (const [fingerprint, banned] of [...present]) {
      if (known !== undefined && find(fingerprint)?.fingerprint === whole) banned();
    }
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
      const record = records.find(fingerprint, clock.now());
      if (record !== undefined) news.push({ ...packCrash(record, clock.now()), server });
    }
    untold.clear();
    if (news.length > 0) parts.tellPartners({ kind: 'crashes', records: news.map(encodeCrash) });
  }

  function clear(record: CrashRecord, by: string): void {
    const { fingerprint, cleared } = record;
    const wasBanned = isBan(record);
    const at = clock.now();
    take({ fingerprint, cleared: cleared + 1, crashes: 0, excused: 0, at }, { by });
    if (wasBanned) parts.banChanged(fingerprint);
  }

  function resolveBan(record: CrashRecord | undefined): Ban | undefined {
    if (record === undefined || !isBan(record)) return undefined;
    const { fingerprint, crashes } = record;
    return { fingerprint, crashes, leftMs: resolveFadeMs(record, clock.now()) };
  }

  function rowsOf(fingerprint: string): CrashRow[] {
    const record = records.find(fingerprint, clock.now());
    return record === undefined ? [] : [packCrash(record, clock.now())];
  }

  function learn(rows: readonly CrashRow[], source: string): void {
    for (const row of rows) {
      take(unpackCrash(row, clock.now()), { source });
      const { server, fingerprint, crashes } = row;
      if (server !== undefined) otherCauses.heard({ server, fingerprint, crashes });
    }
  }

  function watch(fingerprint: Fingerprint, service: string, banned: () => void): WatchedRequest {
    let last: Loss | undefined;
    let looking: Promise<void> = Promise.resolve();
    let trial: Trial | undefined;
    present.set(fingerprint, banned);

    async function admit(signal: AbortSignal): Promise<Admission> {
      if (signal.aborted) return 'aborted';
      const known = find(fingerprint);
      if (trial !== undefined || known === undefined || known.crashes === 0) return 'admitted';
      const answer = await trials.ask(service, known.fingerprint, signal);
      if (answer.kind !== 'granted') return answer.kind;
      ({ trial } = answer);
      return 'admitted';
    }

    return {
      ban: () => resolveBan(find(fingerprint)),
      admit,
      beside: () => trial?.beside ?? [],
      sent(server) {
        const { cleared, crashes, excused } = find(fingerprint) ?? nothingKnown;
        const before = last;
        const sentAt = clock.now();
        trial?.placed(server.id);
        return {
          lost() {
            last = {
              fingerprint,
              known: { cleared, crashes, excused },
              sentAt,
              before,
              counted: 0,
            };
            looking = evidence.lost(server, last);
            return looking;
          },
        };
      },
      succeeded() {
        const known = find(fingerprint);
        if (known !== undefined && known.crashes > 0) clear(known, 'success');
      },
      ended() {
        present.delete(fingerprint);
        // whoever is tried next is to know what this trial has shown
        if (trial !== undefined) void looking.then(trial.ended);
      },
    };
  }

  return {
    watch,
    serverGone: evidence.gone,
    learn,
    received(node, message) {
      if (message.kind === 'crashes') learn(message.records.map(decodeCrash), node);
      else trials.received(node, message);
    },
    peerLost(node) {
      comparisons.delete(node);
      trials.lost(node);
    },
    digest: records.digest,
    heardDigest(node, digest) {
      const now = clock.now();
      if (digest === records.digest()) {
        comparisons.delete(node);
        return;
      }
      const { nextAt, pauseMs } = comparisons.get(node) ?? { nextAt: now, pauseMs: COMPARE_MS };
      if (now < nextAt) return;
      const next = { nextAt: now + pauseMs, pauseMs: Math.min(MAX_COMPARE_MS, 2 * pauseMs) };
      comparisons.set(node, next);
      const rows = records.list(now).map((record) => encodeCrash(packCrash(record, now)));
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
    recordOf(fingerprint) {
      const record = records.find(fingerprint, clock.now());
      if (record === undefined || !isBan(record)) return undefined;
      return packCrash(record, clock.now());
    },
    lift(fingerprint) {
      const record = records.find(fingerprint, clock.now());
      if (record === undefined || record.crashes === 0) return false;
      clear(record, 'operator');
      return true;
    },
  };
}

function isBan(record: CrashRecord | undefined): boolean {
  return record !== undefined && record.crashes >= CRASHES_TO_BAN;
}
