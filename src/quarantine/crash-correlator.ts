/**
 * Finds crashes that were not caused by the request that was running. If another server crashes at the same moment
 * without running that request, both have a common cause, such as an availability zone that loses power. If another
 * request was running on the same server and has more crashes, it is the likelier cause.
 */
import type { Clock } from '../task/index.js';

/** Crashes within this time of each other have a common cause, in ms. It allows for the delay of peers' reports and is
 * shorter than the time in which a repeated request crashes its next server. A crash is judged only after this time,
 * when the reports about other servers have arrived: otherwise a request that crashed several servers in a row would
 * be discounted by servers whose reports are still in transit. */
const SAME_MOMENT_MS = 25;
/** How long crashes are kept, in ms: until the last report that they may explain was judged, on a busy processor. */
const RETENTION_MS = 8 * SAME_MOMENT_MS;

/** A request that was running on a server when the server crashed. */
export interface CrashReport {
  server: string;
  fingerprint: string;
  /** Servers that have crashed under the request, including this one. */
  crashes: number;
}

/** Correlates crashes of different servers and requests. */
export interface CrashCorrelator<Report extends CrashReport> {
  /** A server crashed under a request of this gateway. */
  counted(report: Report): void;
  /** A server crashed under a request of another gateway. */
  reported: (report: CrashReport) => void;
}

interface ServerCrash {
  at: number;
  /** Crashes of each request that was running on the server, by fingerprint. */
  requests: Map<string, number>;
}

/**
 * Creates a correlator without crashes.
 *
 * @param clock the gateway's clock
 * @param discount called for each crash of this gateway that has another cause
 */
export function createCrashCorrelator<Report extends CrashReport>(
  clock: Clock,
  discount: (report: Report) => void,
): CrashCorrelator<Report> {
  const serverCrashes = new Map<string, ServerCrash>();

  function record({ server, fingerprint, crashes }: CrashReport): void {
    const now = clock.now();
    for (const [id, { at }] of serverCrashes) {
      if (now - at > RETENTION_MS) serverCrashes.delete(id);
    }
    const crash: ServerCrash = serverCrashes.get(server) ?? { at: now, requests: new Map() };
    serverCrashes.set(server, crash);
    crash.requests.set(fingerprint, crashes);
  }

  function hasOtherCause(report: Report, countedAt: number): boolean {
    for (const [server, { at, requests }] of serverCrashes) {
      const isSameServer = server === report.server;
      if (isSameServer && Math.max(...requests.values()) > report.crashes) return true;
      const isSameMoment = Math.abs(at - countedAt) <= SAME_MOMENT_MS;
      if (!isSameServer && isSameMoment && !requests.has(report.fingerprint)) return true;
    }
    return false;
  }

  return {
    counted(report) {
      record(report);
      const countedAt = clock.now();
      clock.after(SAME_MOMENT_MS, () => {
        if (hasOtherCause(report, countedAt)) discount(report);
      });
    },
    reported: record,
  };
}
