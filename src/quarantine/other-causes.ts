/**
 * What else explains the end of a server than a request that was at work there. Where another server ends at the same
 * moment, and the request was not at work there, something has ended both: an availability zone that loses its power,
 * a rack. And where a request under which more servers have ended was at work beside it, that one is the likelier cause.
 */
import type { Clock } from '../task/index.js';

/** Ends that come within this time of each other have one cause, in ms: the way of the news. A request that comes again
 * takes longer than that to end the next server. */
const SAME_MOMENT_MS = 25;

/** A request that was at work at a server that ended. */
export interface EndedRun {
  server: string;
  fingerprint: string;
  /** Servers that have ended under it, this one included. */
  crashes: number;
}

/** Ends of servers as they are heard of. */
export interface OtherCauses<Run extends EndedRun> {
  /** A server ended under a request of this gateway. */
  counted(run: Run): void;
  /** A server ended under a request of another gateway. */
  heard(run: EndedRun): void;
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
 * @param excuse hears of each request of this gateway that something else explains
 */
export function createOtherCauses<Run extends EndedRun>(
  clock: Clock,
  excuse: (run: Run) => void,
): OtherCauses<Run> {
  const ends = new Map<string, End>();
  let open: { run: Run; at: number }[] = [];

  function forgetOld(): void {
    const before = clock.now() - SAME_MOMENT_MS;
    for (const [id, { at }] of ends) {
      if (at < before) ends.delete(id);
    }
    open = open.filter(({ at }) => at >= before);
  }

  function note({ server, fingerprint, crashes }: EndedRun): void {
    forgetOld();
    const end: End = ends.get(server) ?? { at: clock.now(), runs: new Map() };
    ends.set(server, end);
    end.runs.set(fingerprint, crashes);
  }

  function hasOtherCause(run: Run): boolean {
    for (const [server, { runs }] of ends) {
      if (server !== run.server && !runs.has(run.fingerprint)) return true;
      if (server === run.server && Math.max(...runs.values()) > run.crashes) return true;
    }
    return false;
  }

  function excuseAll(): void {
    const found = open.filter(({ run }) => hasOtherCause(run));
    if (found.length === 0) return;
    open = open.filter((one) => !found.includes(one));
    for (const { run } of found) excuse(run);
  }

  return {
    counted(run) {
      note(run);
      open.push({ run, at: clock.now() });
      excuseAll();
    },
    heard(run) {
      note(run);
      excuseAll();
    },
  };
}
