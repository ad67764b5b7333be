/**
 * Keeps sends to servers within the limits that these have named, for all gateways together. The limit of a server is
 * allocated by one gateway, the one that schedules its service; any other that has to send by itself, since that one is
 * silent, keeps to a small part of it.
 */
import { createTokenBucket, type BucketTerms, type TokenBucket } from '../limits/token-bucket.js';
import type { Clock, RandomSource } from '../task/index.js';

/** What a server is sent a second where its limit is lower, so that an answer can tell that the limit is over. */
const PROBES_PER_S = 0.2;
/** Requests that may come at once, as a time of the limit in ms: what came late in one moment is made good in the next. */
const BURST_MS = 250;
/** The same at least, in requests: one is left to the more urgent. */
const LEAST_BURST = 2;
/** Part of a limit that all gateways together take which don't allocate it. */
const ALONE_SHARE = 0.25;
/** Callers that come back for room are spread over at most so long, in ms: within that the load is another one. */
const MAX_RETURN_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** What it goes by. */
export interface SendLimitsParts {
  clock: Clock;
  random: RandomSource;
  /** The limit that a server has named, in requests a second. */
  limitOf(server: string): number | undefined;
  /** Whether this gateway allocates the limit of a server. */
  isAllocator(server: string): boolean;
  /** Gateways that are known, this one included. */
  gateways(): number;
}

/** Room for sends to servers. */
export interface SendLimits {
  isLimited(server: string): boolean;
  /**
   * Time until a request may be sent, in milliseconds; 0 where there is no limit.
   *
   * @param server the incarnation
   * @param ahead requests that come before it
   */
  msUntilRoom(server: string, ahead?: number): number;
  /** A request is sent. */
  take(server: string): void;
  /** Time after which a caller that finds no room is told to come back, in ms; each is told a later one. */
  nextRetryAfterMs(server: string): number;
  forget(server: string): void;
}

interface Pace {
  limitPerS: number;
  terms: BucketTerms;
  bucket: TokenBucket;
  /** When this gateway may next send by itself. */
  aloneAt: number;
  /** When the last caller that was turned away is to come back. */
  returnAt: number;
}

/**
 * Creates room for sends.
 *
 * @param parts the limits and who allocates them
 */
export function createSendLimits(parts: SendLimitsParts): SendLimits {
  const { clock, random } = parts;
  const paces = new Map<string, Pace>();

  function find(server: string): Pace | undefined {
    const limitPerS = parts.limitOf(server);
    const known = paces.get(server);
    if (limitPerS === undefined) {
      paces.delete(server);
      return undefined;
    }
    if (known?.limitPerS === limitPerS) return known;
    const terms = resolveTerms(limitPerS);
    const level = known?.bucket.level(clock.now()) ?? 1;
    const bucket = createTokenBucket(terms, clock.now(), level);
    const { aloneAt, returnAt } = known ?? { aloneAt: Number.NEGATIVE_INFINITY, returnAt: 0 };
    const pace = { limitPerS, terms, bucket, aloneAt, returnAt };
    paces.set(server, pace);
    return pace;
  }

  function aloneIntervalMs({ terms }: Pace): number {
    return (MS_PER_SECOND * parts.gateways()) / (ALONE_SHARE * terms.perSecond);
  }

  /** Gateways that come to send by themselves at one moment don't send at one moment. */
  function msUntilAlone(pace: Pace): number {
    const now = clock.now();
    const intervalMs = aloneIntervalMs(pace);
    if (now - pace.aloneAt > intervalMs) pace.aloneAt = now + intervalMs * random.next();
    return Math.max(0, pace.aloneAt - now);
  }

  function msUntilAllocated({ bucket, terms }: Pace, amount: number): number {
    const beyond = Math.max(0, amount - terms.size);
    const waitMs = bucket.waitMs(amount - beyond, clock.now());
    return waitMs + (beyond * MS_PER_SECOND) / terms.perSecond;
  }

  function msUntilRoom(server: string, ahead = 0): number {
    const pace = find(server);
    if (pace === undefined) return 0;
    if (parts.isAllocator(server)) return msUntilAllocated(pace, ahead + 1);
    return msUntilAlone(pace) + ahead * aloneIntervalMs(pace);
  }

  return {
    isLimited: (server) => parts.limitOf(server) !== undefined,
    msUntilRoom,
    take(server) {
      const pace = find(server);
      if (pace === undefined) return;
      if (parts.isAllocator(server)) pace.bucket.draw(1, clock.now());
      else pace.aloneAt = Math.max(clock.now(), pace.aloneAt) + aloneIntervalMs(pace);
    },
    nextRetryAfterMs(server) {
      const pace = find(server);
      if (pace === undefined) return 0;
      const now = clock.now();
      const intervalMs = MS_PER_SECOND / pace.terms.perSecond;
      const nextAt = Math.max(now + msUntilRoom(server), pace.returnAt + intervalMs);
      pace.returnAt = Math.min(nextAt, now + MAX_RETURN_MS);
      return pace.returnAt - now;
    },
    forget(server) {
      paces.delete(server);
    },
  };
}

function resolveTerms(limitPerS: number): BucketTerms {
  const perSecond = Math.max(PROBES_PER_S, limitPerS);
  return { perSecond, size: Math.max(LEAST_BURST, 1 + (perSecond * BURST_MS) / MS_PER_SECOND) };
}

/** Room without end, for schedulers whose engines name no limits. */
export const unlimited: SendLimits = {
  isLimited: () => false,
  msUntilRoom: () => 0,
  take: () => undefined,
  nextRetryAfterMs: () => 0,
  forget: () => undefined,
};
