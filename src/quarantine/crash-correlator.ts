/**
 * What else explains the end of a server than a request that was at work there. Where another server ends at the same
 * moment, and the request was not at work there, something has ended both: an availability zone that loses its power,
 * a rack. And where a request under which more servers have ended was at work beside it, that one is the likelier cause.
 */
import type { Clock } from '../task/index.js';

/** Ends that come within this time of each other have one cause, in ms: the way of the news. A request that comes again
 * takes longer than that to end the next server. It is judged after as long, when it is known what was at work where:
 * judged at once, a request that ended several servers in a row discounted itself by those whose news was still to come. */
const SAME_MOMENT_MS = 25;
/** Ends are remembered for so long, in ms: until the last run that they may explain was judged, on a busy processor. */
const MEMORY_MS = 8 * SAME_MOMENT_MS;

/** A request that was at work at a server that ended. */
export interface CrashReport {
  server: string;
  fingerprint: string;
  /** Servers that have ended under it, this one included. */
  crashes: number;
}

/** Ends of servers as they are heard of. */
export interface CrashCorrelator<Run extends CrashReport> {
  /** A server ended under a request of this gateway. */
  counted(run: Run): void;
  /** A server ended under a request of another gateway. */
  reported: (run: CrashReport) => void;
}

interface End {
  at: number;
  /** Crashes of each request that was at work there. */
  runs: Map<string, number>;
}

/**
 * Creates a memory of no ends.
 *
 * @param clock the gateway's clock
 * @param discount hears of each request of this gateway that something else explains
 */
export function createCrashCorrelator<Run extends CrashReport>(
  clock: Clock,
  discount: (run: Run) => void,
): CrashCorrelator<Run> {
  const ends = new Map<string, End>();

  function note({ server, fingerprint, crashes }: CrashReport): void {
    const now = clock.now();
    for (const [id, { at }] of ends) {
      if (now - at > MEMORY_MS) ends.delete(id);
    }
    const end: End = ends.get(server) ?? { at: now, runs: new Map() };
    ends.set(server, end);
    end.runs.set(fingerprint, crashes);
  }

  function hasOtherCause(run: Run, countedAt: number): boolean {
    for (const [server, { at, runs }] of ends) {
      const isSame = server === run.server;
      if (isSame && Math.max(...runs.values()) > run.crashes) return true;
      const isAtOnce = Math.abs(at - countedAt) <= SAME_MOMENT_MS;
      if (!isSame && isAtOnce && !runs.has(run.fingerprint)) return true;
    }
    return false;
  }

  return {
    counted(run) {
      note(run);
      const countedAt = clock.now();
      clock.after(SAME_MOMENT_MS, () => {
        if (hasOtherCause(run, countedAt)) discount(run);
      });
    },
    reported: note,
  };
}
