/**
 * What became of the requests of a scenario, as the callers saw it.
 */

/** How one sending of a request ended. */
export type AttemptEnd =
  /** The whole answer, and the request's own. */
  | 'whole'
  /** An answer that is another's, or not whole though it says so. */
  | 'wrong'
  /** A refusal that says "not run". */
  | 'not-run'
  /** A refusal that says that it may have run. */
  | 'unknown'
  /** The connection was never made. */
  | 'unconnected'
  /** The connection or stream broke. */
  | 'broken'
  /** No answer long after the deadline. */
  | 'held-back';

/** One sending of a request. */
export interface Attempt {
  /** The node that was asked. */
  node: string;
  /** The id that the node gave it, where it answered. */
  requestId: string | undefined;
  end: AttemptEnd;
  /** The refusal's code, or what is wrong. */
  detail: string;
  retryAfterMs: number;
  /** The answer's text, for calls that must give the same answer again. */
  text: string;
}

/** Which rule the request is under. */
export type RequestKind = 'generation' | 'repeatable-call' | 'billed-call';

/** One request, with all its sendings. */
export interface Outcome {
  kind: RequestKind;
  label: string;
  /** Path under which a call's executions are found in the services' records. */
  path: string;
  attempts: Attempt[];
  end: AttemptEnd;
  /** On the tool's monotonic clock. */
  startedAt: number;
  endedAt: number;
}

/** How many requests ended in which way. */
export interface Counts {
  requests: number;
  whole: number;
  notRun: number;
  unknown: number;
  broken: number;
  wrong: number;
  /** Sendings after the first, by the caller: after a refusal, and after a connection failed. */
  askedAgain: number;
  triedElsewhere: number;
}

/** Counts outcomes. */
export function countOutcomes(outcomes: readonly Outcome[]): Counts {
  const counts: Counts = {
    requests: outcomes.length,
    whole: 0,
    notRun: 0,
    unknown: 0,
    broken: 0,
    wrong: 0,
    askedAgain: 0,
    triedElsewhere: 0,
  };
  for (const { end, attempts } of outcomes) {
    if (end === 'whole') counts.whole += 1;
    else if (end === 'not-run' || end === 'unconnected') counts.notRun += 1;
    else if (end === 'unknown') counts.unknown += 1;
    else if (end === 'broken') counts.broken += 1;
    else counts.wrong += 1;
    for (const attempt of attempts.slice(0, -1)) {
      if (attempt.end === 'unconnected' || attempt.end === 'broken') counts.triedElsewhere += 1;
      else counts.askedAgain += 1;
    }
  }
  return counts;
}
