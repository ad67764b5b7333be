/**
 * How often requests are served by the size of their prompts. Under load a long prompt fits into the
 * queues less often than a short one, so that admission by itself leaves the longest unserved. The
 * classes of size that are behind are given room in spite of it.
 *
 * The counts decay and are lost with the process. Since a class without counts is behind, a new
 * scheduler begins by giving room to long prompts rather than by refusing them.
 */

/** Time constant of the counts, in ms; long enough for some requests of a class at a small service. */
const AVERAGING_MS = 20_000;
/** Where the classes of size begin, as shares of recent requests in order of their size. */
const CLASS_STARTS = [0, 0.5, 0.7, 0.8, 0.9, 0.95] as const;
/** Recent sizes of a rank from which the classes are told apart. */
const MAX_RECENT_SIZES = 200;
/** Requests after which the classes are told apart anew. */
const RANKING_INTERVAL = 10;
/** How often a class has to be served relative to all requests of its rank. */
const MIN_RELATIVE_SHARE = 0.65;
/** Admissions beyond its due that are held against a class, as a share of its recent requests; so that
 * what it was given while there was room for all does not leave it unserved when there is not. */
const MAX_SURPLUS_SHARE = 0.1;
/** Requests get room if their prefill takes at most this multiple of the mean of their class; so it
 * goes to those whose prompts are cached in part before those that displace the most others. */
const MAX_RELATIVE_PREFILL = 2;

/** A request as it is counted. */
export interface SizedRequest {
  /** The same for all attempts to serve the request. */
  key: string;
  /** Sizes are compared within a rank. */
  rank: number;
  tokens: number;
}

/** Recent requests by the size of their prompts; times in milliseconds. */
export interface SizeShares {
  /**
   * Records a request; further attempts until its deadline are not counted.
   *
   * @param deadlineAt when its deadline passes
   */
  submitted(request: SizedRequest, deadlineAt: number, now: number): void;
  /** Records how long the prefill of a request would take. */
  estimated(request: SizedRequest, prefillMs: number, now: number): void;
  /** Records that a request was admitted. */
  admitted(request: SizedRequest, now: number): void;
  /** Takes an admission back: the request ended without a first token. */
  withdrawn(request: SizedRequest, now: number): void;
  /** Whether a request should be given room since its class of size is behind. */
  isBehind(request: SizedRequest, prefillMs: number, now: number): boolean;
}

/** Decaying sums over the requests of a class. */
interface Sums {
  submitted: number;
  admitted: number;
  /** Admissions that the class is due, less those that it had; negative if it had more. */
  owed: number;
  estimates: number;
  prefillMs: number;
  at: number;
}

/** What is known of the requests of a rank. */
interface RankSizes {
  recentSizes: number[];
  submissions: number;
  /** Smallest size of each class, in tokens. */
  classStarts: readonly number[];
  all: Sums;
  classes: readonly Sums[];
}

/** Creates a record without requests. */
export function createSizeShares(): SizeShares {
  const ranks = new Map<number, RankSizes>();
  /** When requests that were counted have passed their deadlines, in the order of submission. */
  const countedUntil = new Map<string, number>();

  function sizesOf(rank: number): RankSizes {
    const known = ranks.get(rank);
    if (known !== undefined) return known;
    const created: RankSizes = {
      recentSizes: [],
      submissions: 0,
      classStarts: CLASS_STARTS.map(() => 0),
      all: createSums(),
      classes: CLASS_STARTS.map(createSums),
    };
    ranks.set(rank, created);
    return created;
  }

  /** Whether a request was counted and has not passed its deadline. */
  function isCounted(key: string, now: number): boolean {
    for (const [old, until] of countedUntil) {
      if (until > now) break;
      countedUntil.delete(old);
    }
    return (countedUntil.get(key) ?? now) > now;
  }

  /** The sums of a request's class and of its rank. */
  function listSums({ rank, tokens }: SizedRequest, now: number): [ofClass: Sums, ofAll: Sums] {
    const { classStarts, classes, all } = sizesOf(rank);
    let ofClass = all;
    for (const [index, start] of classStarts.entries()) {
      if (tokens >= start) ofClass = classes[index] ?? all;
    }
    decay(ofClass, now);
    decay(all, now);
    return [ofClass, all];
  }

  return {
    submitted(request, deadlineAt, now) {
      if (isCounted(request.key, now)) return;
      countedUntil.set(request.key, deadlineAt);
      recordSize(sizesOf(request.rank), request.tokens);
      const [ofClass, ofAll] = listSums(request, now);
      ofClass.submitted += 1;
      ofAll.submitted += 1;
      // the request itself counts as admitted, so that a record without admissions gives room
      const share = Math.min(1, (ofAll.admitted + 1) / ofAll.submitted);
      ofClass.owed += MIN_RELATIVE_SHARE * share;
    },
    estimated(request, prefillMs, now) {
      const [ofClass] = listSums(request, now);
      ofClass.estimates += 1;
      ofClass.prefillMs += prefillMs;
    },
    admitted(request, now) {
      const [ofClass, ofAll] = listSums(request, now);
      ofAll.admitted += 1;
      ofClass.owed = Math.max(-MAX_SURPLUS_SHARE * ofClass.submitted, ofClass.owed) - 1;
    },
    withdrawn(request, now) {
      const [ofClass, ofAll] = listSums(request, now);
      ofAll.admitted -= 1;
      ofClass.owed += 1;
    },
    isBehind(request, prefillMs, now) {
      const [ofClass] = listSums(request, now);
      if (ofClass.owed <= 0) return false;
      return prefillMs * ofClass.estimates <= MAX_RELATIVE_PREFILL * ofClass.prefillMs;
    },
  };
}

function createSums(): Sums {
  return { submitted: 0, admitted: 0, owed: 0, estimates: 0, prefillMs: 0, at: 0 };
}

function decay(sums: Sums, now: number): void {
  const factor = Math.exp((sums.at - now) / AVERAGING_MS);
  sums.submitted *= factor;
  sums.admitted *= factor;
  sums.owed *= factor;
  sums.estimates *= factor;
  sums.prefillMs *= factor;
  sums.at = now;
}

function recordSize(sizes: RankSizes, tokens: number): void {
  sizes.recentSizes[sizes.submissions % MAX_RECENT_SIZES] = tokens;
  sizes.submissions += 1;
  if (sizes.submissions % RANKING_INTERVAL !== 1) return;
  const sorted = [...sizes.recentSizes].sort((left, right) => left - right);
  sizes.classStarts = CLASS_STARTS.map((share) =>
    share === 0 ? 0 : (sorted[Math.floor(share * sorted.length)] ?? 0),
  );
}
