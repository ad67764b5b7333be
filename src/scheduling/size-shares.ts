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
/** Where the classes of size above the smallest begin, as shares of recent requests in order of their
 * size. */
const CLASS_STARTS = [0.5, 0.7, 0.8, 0.9, 0.95] as const;
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

/** A class of size, with decaying sums over its requests. */
interface SizeClass {
  /** Where it begins, as a share of recent requests in order of their size. */
  startShare: number;
  /** Its smallest size, in tokens. */
  startTokens: number;
  submitted: number;
  /** Admissions that the class is due, less those that it had; negative if it had more. */
  owed: number;
  estimates: number;
  prefillMs: number;
}

/** Decaying sums over all requests of a rank. */
interface RankSums {
  submitted: number;
  admitted: number;
}

/** What is known of the requests of a rank. */
interface RankSizes {
  recentSizes: number[];
  submissions: number;
  /** The smallest sizes first. */
  classes: readonly [SizeClass, ...SizeClass[]];
  all: RankSums;
  /** When the sums last decayed, in ms. */
  decayedAt: number;
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
      classes: [createClass(0), ...CLASS_STARTS.map(createClass)],
      all: { submitted: 0, admitted: 0 },
      decayedAt: 0,
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

  /** The sums of a request's rank and of its class of size, as of now. */
  function sumsOf({ rank, tokens }: SizedRequest, now: number) {
    const sizes = sizesOf(rank);
    decay(sizes, now);
    let [ofClass] = sizes.classes;
    for (const sizeClass of sizes.classes) {
      if (tokens >= sizeClass.startTokens) ofClass = sizeClass;
    }
    return { all: sizes.all, ofClass };
  }

  return {
    submitted(request, deadlineAt, now) {
      if (isCounted(request.key, now)) return;
      countedUntil.set(request.key, deadlineAt);
      recordSize(sizesOf(request.rank), request.tokens);
      const { all, ofClass } = sumsOf(request, now);
      ofClass.submitted += 1;
      all.submitted += 1;
      // the request itself counts as admitted, so that a record without admissions gives room
      const share = Math.min(1, (all.admitted + 1) / all.submitted);
      ofClass.owed += MIN_RELATIVE_SHARE * share;
    },
    estimated(request, prefillMs, now) {
      const { ofClass } = sumsOf(request, now);
      ofClass.estimates += 1;
      ofClass.prefillMs += prefillMs;
    },
    admitted(request, now) {
      const { all, ofClass } = sumsOf(request, now);
      all.admitted += 1;
      ofClass.owed = Math.max(-MAX_SURPLUS_SHARE * ofClass.submitted, ofClass.owed) - 1;
    },
    withdrawn(request, now) {
      const { all, ofClass } = sumsOf(request, now);
      all.admitted -= 1;
      ofClass.owed += 1;
    },
    isBehind(request, prefillMs, now) {
      const { ofClass } = sumsOf(request, now);
      if (ofClass.owed <= 0) return false;
      return prefillMs * ofClass.estimates <= MAX_RELATIVE_PREFILL * ofClass.prefillMs;
    },
  };
}

function createClass(startShare: number): SizeClass {
  return { startShare, startTokens: 0, submitted: 0, owed: 0, estimates: 0, prefillMs: 0 };
}

function decay(sizes: RankSizes, now: number): void {
  const factor = Math.exp((sizes.decayedAt - now) / AVERAGING_MS);
  for (const sizeClass of sizes.classes) {
    sizeClass.submitted *= factor;
    sizeClass.owed *= factor;
    sizeClass.estimates *= factor;
    sizeClass.prefillMs *= factor;
  }
  sizes.all.submitted *= factor;
  sizes.all.admitted *= factor;
  sizes.decayedAt = now;
}

/** Records a size, and from time to time tells the classes apart anew. */
function recordSize(sizes: RankSizes, tokens: number): void {
  sizes.recentSizes[sizes.submissions % MAX_RECENT_SIZES] = tokens;
  sizes.submissions += 1;
  if (sizes.submissions % RANKING_INTERVAL !== 1) return;
  const sorted = [...sizes.recentSizes].sort((left, right) => left - right);
  for (const sizeClass of sizes.classes) {
    sizeClass.startTokens = sorted[Math.floor(sizeClass.startShare * sorted.length)] ?? 0;
  }
}
