/**
 * How long callers wait for the first event before they leave, which may be well before their deadline.
 * It is observed: callers that leave for lack of patience do so after about the same wait, others
 * after any wait.
 */

/** Waits of callers that left that are kept for each rank. */
const MAX_WAITS = 32;
/** Callers that have to leave after about the longest wait until it is taken for their patience. */
const MIN_CALLERS = 4;
/** Time for which a wait is kept, in ms, so that a wrong observation does not last. */
const MAX_AGE_MS = 30_000;
/** Waits of at least this share of the longest one are about the same. */
const SAME_WAIT_SHARE = 0.95;

/** Patience of callers, by the rank of their requests; times in milliseconds. */
export interface CallerPatience {
  /** Records that a caller left before the first event. */
  left(rank: number, waitedMs: number, now: number): void;
  /** Records that a caller was still there at the first event. */
  stayed(rank: number, waitedMs: number, now: number): void;
  /** How long callers wait for the first event; infinite while that is unknown. */
  limitMs(rank: number, now: number): number;
}

interface Wait {
  waitedMs: number;
  at: number;
}

/** Creates a record that has seen no caller leave. */
export function createCallerPatience(): CallerPatience {
  const waitsByRank = new Map<number, Wait[]>();

  function listRecent(rank: number, now: number): Wait[] {
    return (waitsByRank.get(rank) ?? []).filter(({ at }) => now - at <= MAX_AGE_MS);
  }

  function limitMs(rank: number, now: number): number {
    const waits = listRecent(rank, now);
    const leastMs = SAME_WAIT_SHARE * Math.max(0, ...waits.map(({ waitedMs }) => waitedMs));
    let callers = 0;
    for (const { waitedMs } of waits) {
      if (waitedMs >= leastMs) callers += 1;
    }
    return callers >= MIN_CALLERS ? leastMs : Number.POSITIVE_INFINITY;
  }

  return {
    limitMs,
    left(rank, waitedMs, now) {
      const waits = [...listRecent(rank, now), { waitedMs, at: now }];
      waitsByRank.set(rank, waits.slice(-MAX_WAITS));
    },
    stayed(rank, waitedMs, now) {
      if (waitedMs * SAME_WAIT_SHARE > limitMs(rank, now)) waitsByRank.delete(rank);
    },
  };
}
