/**
 * Keeps requests away from servers once servers have ended under them, in the whole fleet. Each gateway counts the
 * servers that ended while a request of its own was at work there, tells its peers, and takes in what they tell; a
 * request whose count reaches the limit is refused by all, whatever its id and wherever it comes in.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock } from '../task/index.js';
import { createCrashDetector, type CrashSign, type ServerProbe } from './crash-detector.js';
import {
  createCrashLedger,
  type Ban,
  type CrashLedger,
  type CrashLedgerParts,
  type CrashCounts,
} from './crash-ledger.js';
import type { Fingerprint } from './fingerprint.js';
import type { CrashesMessage } from './messages.js';
import type { CrashRecord } from './records.js';
import { createTrials, type Trial, type TrialMessage } from './trials.js';

/** What the quarantine needs. */
export interface QuarantineParts extends Pick<CrashLedgerParts, 'broadcast' | 'banChanged'> {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'crashesCounted' | 'bans'>;
  probe: ServerProbe;
  node: string;
  /** The gateway that coordinates a service's trials. */
  coordinatorOf(service: string): string;
  /** Tells one peer. */
  send(node: string, message: CrashesMessage | TrialMessage): void;
}

/** One send of a request, or one reading of its prompt. */
export interface WatchedAttempt {
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
  serversToAvoid(): readonly string[];
  /** It goes to a server. */
  sent: (server: RegisteredServer) => WatchedAttempt;
  /** A server has answered it whole and with success. */
  succeeded(): void;
  /** It has ended. */
  ended: () => void;
}

/** Requests under which servers ended. */
export interface Quarantine extends Pick<
  CrashLedger,
  'mergeRows' | 'digest' | 'digestReceived' | 'bans' | 'banRowOf' | 'lift'
> {
  /**
   * A request for a service has come.
   *
   * @param banned called when it is banned while it is here
   */
  watch(fingerprint: Fingerprint, service: string, banned: () => void): WatchedRequest;
  /** The registry has no entry of a server any more. */
  serverRemoved: (id: string, hasSuccessor: boolean) => void;
  received: (node: string, message: CrashesMessage | TrialMessage) => void;
  /** A peer was lost. */
  peerLost: (node: string) => void;
}

/** A send whose answer was lost. */
interface Loss {
  fingerprint: Fingerprint;
  known: CrashCounts;
  sentAt: number;
  /** The last loss of the same request before this send: it may be counted only after it. */
  before: Loss | undefined;
  counted: number;
}

const nothingKnown: CrashCounts = { cleared: 0, crashes: 0, discounted: 0 };

/**
 * Creates a quarantine that knows of no request.
 *
 * @param parts the way to servers and peers
 */
export function createQuarantine(parts: QuarantineParts): Quarantine {
  const { clock, log, metrics } = parts;
  /** Requests that are here, with what stops each. */
  const present = new Map<Fingerprint, () => void>();
  const ledger = createCrashLedger({
    ...parts,
    banned: stopPresent,
    cleared(fingerprint) {
      trials.cleared(fingerprint);
    },
  });
  const evidence = createCrashDetector<Loss>({
    clock,
    log,
    probe: parts.probe,
    confirmed: count,
  });
  const trials = createTrials({
    clock,
    log,
    node: parts.node,
    coordinatorOf: (service) => parts.coordinatorOf(service),
    send(peer, message) {
      parts.send(peer, message);
    },
    rowsOf: ledger.rowsOf,
    mergeRows: ledger.mergeRows,
  });

  /** Bodies are looked at only where a request of the same outline is known. */
  function find(fingerprint: Fingerprint): CrashRecord | undefined {
    return ledger.mayContain(fingerprint.prefix()) ? ledger.find(fingerprint.full()) : undefined;
  }

  function count(loss: Loss, server: RegisteredServer, sign: CrashSign): void {
    const { known, sentAt, before } = loss;
    metrics.crashesCounted.inc({ sign });
    loss.counted = ledger.count({
      fingerprint: loss.fingerprint.full(),
      server: server.id,
      countsAtSend: known,
      sentAt,
      countedBefore: before?.counted ?? 0,
    });
  }

  /** What waits here, or is under way, is not to end another server. */
  function stopPresent(whole: string): void {
    for (const [fingerprint, banned] of [...present]) {
      if (find(fingerprint)?.fingerprint === whole) banned();
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
      const answer = await trials.request(service, known.fingerprint, signal);
      if (answer.kind !== 'granted') return answer.kind;
      ({ trial } = answer);
      return 'admitted';
    }

    return {
      ban() {
        const known = find(fingerprint);
        return known === undefined ? undefined : ledger.ban(known.fingerprint);
      },
      admit,
      serversToAvoid: () => trial?.serversToAvoid ?? [],
      sent(server) {
        const { cleared, crashes, discounted } = find(fingerprint) ?? nothingKnown;
        const before = last;
        const sentAt = clock.now();
        trial?.placed(server.id);
        return {
          lost() {
            last = {
              fingerprint,
              known: { cleared, crashes, discounted },
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
        if (known !== undefined && known.crashes > 0) ledger.succeeded(known);
      },
      ended() {
        present.delete(fingerprint);
        // whoever is tried next is to know what this trial has shown
        if (trial !== undefined) void looking.then(trial.ended);
      },
    };
  }

  return {
    ...ledger,
    watch,
    serverRemoved: evidence.removed,
    received(node, message) {
      if (message.kind === 'crashes') ledger.received(node, message);
      else trials.received(node, message);
    },
    peerLost(node) {
      ledger.peerLost(node);
      trials.lost(node);
    },
  };
}
