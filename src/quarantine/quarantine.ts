/**
 * Fleet-wide quarantine of requests that crash servers, and of parts of prompts that do. Each gateway counts the servers
 * that crashed while a request of its own was running on them, for the request and for the parts of its prompt, and shares
 * the counts with its peers. A request is refused by all gateways, whatever its request id, once its count or that of one
 * of its parts reaches the limit.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock } from '../task/index.js';
import { createCrashDetector, type CrashSign, type ServerProbe } from './crash-detector.js';
import {
  createCrashLedger,
  type Ban,
  type CrashCounts,
  type CrashLedger,
  type CrashLedgerParts,
} from './crash-ledger.js';
import type { CrashesMessage } from './messages.js';
import { isPartKey } from './part-keys.js';
import { createPartSuccesses } from './part-successes.js';
import { createSuspects, type Suspects, type SuspectTerms } from './suspects.js';
import { createTrials, type Trial, type TrialMessage } from './trials.js';

/** Dependencies of the quarantine. */
export interface QuarantineParts extends Pick<CrashLedgerParts, 'broadcast' | 'banChanged'> {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'crashesCounted' | 'bans'>;
  probe: ServerProbe;
  node: string;
  /** The gateway that coordinates a service's trials. */
  coordinatorOf(service: string): string;
  /** Sends a message to one peer. */
  send(node: string, message: CrashesMessage | TrialMessage): void;
}

/** One attempt of a request at a server, or the prefill of its prompt there. */
export interface WatchedAttempt {
  /** The server's answer was lost; resolves once it was checked whether the server has crashed. */
  lost(): Promise<void>;
}

/** Whether a request may go to a server now. */
export type Admission = 'admitted' | 'busy' | 'aborted';

/** A request at this gateway. */
export interface WatchedRequest {
  /** The request's ban, if it is banned. */
  ban(): Ban | undefined;
  /** Waits for a trial if servers have crashed under the request. */
  admit(signal: AbortSignal): Promise<Admission>;
  /** Servers that run other requests on trial; to be used only if there is no other server. */
  serversToAvoid(): readonly string[];
  /** The request is sent to a server. */
  sent: (server: RegisteredServer) => WatchedAttempt;
  /** A server has answered completely and with success. */
  succeeded(): void;
  /** The request has ended. */
  ended: () => void;
}

/** Quarantine of requests that crash servers. */
export interface Quarantine extends Pick<
  CrashLedger,
  'mergeRows' | 'digest' | 'digestReceived' | 'bans' | 'banRowOf' | 'lift'
> {
  /**
   * Tracks a request from its arrival to its end.
   *
   * @param terms the request's content
   * @param banned called if the request is banned while it is at this gateway
   */
  watch(terms: SuspectTerms, banned: () => void): WatchedRequest;
  /** A server's entry was removed from the registry. */
  serverRemoved: (id: string, hasSuccessor: boolean) => void;
  received: (node: string, message: CrashesMessage | TrialMessage) => void;
  peerLost: (node: string) => void;
}

/** An attempt whose answer was lost. */
interface LostAttempt {
  suspects: Suspects;
  /** Of the request and its parts, by key. */
  countsAtSend: ReadonlyMap<string, CrashCounts>;
  sentAt: number;
  /** The request's last lost attempt before this one was sent; it may be counted only after this one was sent. */
  previous: LostAttempt | undefined;
  /** Crash counts including this attempt, by key; empty while no crash is confirmed. */
  counted: Map<string, number>;
}

const noCrashes: CrashCounts = { cleared: 0, crashes: 0, discounted: 0 };

/**
 * Creates a quarantine without crash records.
 *
 * @param parts the connections to servers and peers
 */
export function createQuarantine(parts: QuarantineParts): Quarantine {
  const { clock, log, metrics } = parts;
  /** Requests at this gateway, each with its ban callback. */
  const requests = new Map<Suspects, () => void>();
  const successes = createPartSuccesses(clock);
  const ledger = createCrashLedger({
    ...parts,
    excuses: successes.excuses,
    banned: stopRequests,
    cleared(fingerprint) {
      trials.cleared(fingerprint);
    },
  });
  const detector = createCrashDetector<LostAttempt>({
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

  function count(attempt: LostAttempt, server: RegisteredServer, sign: CrashSign): void {
    const { suspects, countsAtSend, sentAt, previous, counted } = attempt;
    metrics.crashesCounted.inc({ sign });
    for (const key of suspects.listKeys()) {
      if (successes.excuses(key, server.id)) continue;
      // listed after its request: one that is banned itself has caused its crashes, not its parts, which others share
      if (isPartKey(key) && suspects.isRequestBanned()) continue;
      const count = ledger.count({
        fingerprint: key,
        server: server.id,
        countsAtSend: countsAtSend.get(key) ?? noCrashes,
        sentAt,
        countedBefore: previous?.counted.get(key) ?? 0,
      });
      counted.set(key, count);
    }
  }

  /** Stops the queued and running requests with a fingerprint or a part that was just banned. */
  function stopRequests(key: string): void {
    for (const [suspects, banned] of [...requests]) {
      if (suspects.listRecords().some(({ fingerprint }) => fingerprint === key)) banned();
    }
  }

  function watch(terms: SuspectTerms, banned: () => void): WatchedRequest {
    const suspects = createSuspects(ledger, terms);
    let lastLost: LostAttempt | undefined;
    let crashCheck: Promise<void> = Promise.resolve();
    let trial: Trial | undefined;
    requests.set(suspects, banned);

    async function admit(signal: AbortSignal): Promise<Admission> {
      if (signal.aborted) return 'aborted';
      const record = suspects.findTrialRecord();
      if (trial !== undefined || record === undefined) return 'admitted';
      const answer = await trials.requestTrial(terms.service, record.fingerprint, signal);
      if (answer.kind !== 'granted') return answer.kind;
      ({ trial } = answer);
      return 'admitted';
    }

    return {
      ban: () => suspects.findBan(),
      admit,
      serversToAvoid: () => trial?.serversToAvoid ?? [],
      sent(server) {
        const countsAtSend = suspects.readCounts();
        const previous = lastLost;
        const sentAt = clock.now();
        trial?.placed(server.id);
        return {
          lost() {
            lastLost = { suspects, countsAtSend, sentAt, previous, counted: new Map() };
            crashCheck = detector.lost(server, lastLost);
            return crashCheck;
          },
        };
      },
      succeeded() {
        successes.record(suspects.partKeys);
        for (const record of suspects.listRecords()) {
          if (record.crashes > 0) ledger.succeeded(record);
        }
      },
      ended() {
        requests.delete(suspects);
        // the next trial must start only after the result of this one is counted
        if (trial !== undefined) void crashCheck.then(trial.ended);
      },
    };
  }

  return {
    ...ledger,
    watch,
    serverRemoved: detector.removed,
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
