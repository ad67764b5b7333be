/**
 * Keeps requests within the rate limits that servers have asked for, across all gateways. One gateway
 * allocates the limit of a server: the one that schedules its service. While it is not reachable, each
 * other gateway may use a small share of the limit.
 */
import { createTokenBucket, type BucketTerms, type TokenBucket } from '../limits/token-bucket.js';
import type { Clock, RandomSource } from '../task/index.js';

/** Minimum rate in requests per second, so that an answer can end even a limit of 0. */
const MIN_RATE_PER_S = 0.2;
/** Burst, as the time in which the limit allows it, in ms. */
const BURST_MS = 250;
/** Minimum burst in requests; less urgent requests leave one of them. */
const MIN_BURST = 2;
/** Share of a limit for all gateways that don't allocate it, together. */
const FALLBACK_SHARE = 0.25;
/** Maximum Retry-After, in ms, over which callers are spread; beyond it the load is another one. */
const MAX_RETRY_AFTER_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Dependencies of the limits. */
export interface SendLimitsParts {
  clock: Clock;
  random: RandomSource;
  /** The limit that a server has asked for, in requests per second. */
  limitOf(server: string): number | undefined;
  /** Whether this gateway allocates the limit of a server. */
  isAllocator(server: string): boolean;
  /** Number of known gateways, including this one. */
  gateways(): number;
}

/** Rate limits by server. */
export interface SendLimits {
  isLimited(server: string): boolean;
  /**
   * Time until a request may be sent, in milliseconds; 0 without a limit.
   *
   * @param server the incarnation
   * @param ahead requests that are sent before it
   */
  msUntilRoom(server: string, ahead?: number): number;
  /** Records that a request is sent. */
  take(server: string): void;
  /**
   * Retry-After for a caller that is declined, in ms. Each call returns a later time, at the rate of
   * the limit, so that callers don't all retry at once.
   */
  nextRetryAfterMs(server: string): number;
  forget(server: string): void;
}

interface ServerLimit {
  limitPerS: number;
  terms: BucketTerms;
  bucket: TokenBucket;
  /** When this gateway may send next if it does not allocate the limit. */
  fallbackAt: number;
  /** When the last declined caller is to retry. */
  retryAt: number;
}

/**
 * Creates the limits.
 *
 * @param parts the limits of servers and their allocators
 */
export function createSendLimits(parts: SendLimitsParts): SendLimits {
  const { clock, random } = parts;
  const limits = new Map<string, ServerLimit>();

  function find(server: string): ServerLimit | undefined {
    const limitPerS = parts.limitOf(server);
    const known = limits.get(server);
    if (limitPerS === undefined) {
      limits.delete(server);
      return undefined;
    }
    if (known?.limitPerS === limitPerS) return known;
    const terms = resolveTerms(limitPerS);
    const level = known?.bucket.level(clock.now()) ?? 1;
    const bucket = createTokenBucket(terms, clock.now(), level);
    const { fallbackAt, retryAt } = known ?? { fallbackAt: Number.NEGATIVE_INFINITY, retryAt: 0 };
    const limit = { limitPerS, terms, bucket, fallbackAt, retryAt };
    limits.set(server, limit);
    return limit;
  }

  function fallbackIntervalMs({ terms }: ServerLimit): number {
    return (MS_PER_SECOND * parts.gateways()) / (FALLBACK_SHARE * terms.perSecond);
  }

  /** Starts at a random time in the interval, so that gateways don't all send at once. */
  function msUntilFallback(limit: ServerLimit): number {
    const now = clock.now();
    const intervalMs = fallbackIntervalMs(limit);
    if (now - limit.fallbackAt > intervalMs) limit.fallbackAt = now + intervalMs * random.next();
    return Math.max(0, limit.fallbackAt - now);
  }

  function msUntilAllocated({ bucket, terms }: ServerLimit, amount: number): number {
    const excess = Math.max(0, amount - terms.size);
    const waitMs = bucket.waitMs(amount - excess, clock.now());
    return waitMs + (excess * MS_PER_SECOND) / terms.perSecond;
  }

  function msUntilRoom(server: string, ahead = 0): number {
    const limit = find(server);
    if (limit === undefined) return 0;
    if (parts.isAllocator(server)) return msUntilAllocated(limit, ahead + 1);
    return msUntilFallback(limit) + ahead * fallbackIntervalMs(limit);
  }

  return {
    isLimited: (server) => parts.limitOf(server) !== undefined,
    msUntilRoom,
    take(server) {
      const limit = find(server);
      if (limit === undefined) return;
      if (parts.isAllocator(server)) limit.bucket.draw(1, clock.now());
      else limit.fallbackAt = Math.max(clock.now(), limit.fallbackAt) + fallbackIntervalMs(limit);
    },
    nextRetryAfterMs(server) {
      const limit = find(server);
      if (limit === undefined) return 0;
      const now = clock.now();
      const intervalMs = MS_PER_SECOND / limit.terms.perSecond;
      const nextAt = Math.max(now + msUntilRoom(server), limit.retryAt + intervalMs);
      limit.retryAt = Math.min(nextAt, now + MAX_RETRY_AFTER_MS);
      return limit.retryAt - now;
    },
    forget(server) {
      limits.delete(server);
    },
  };
}

function resolveTerms(limitPerS: number): BucketTerms {
  const perSecond = Math.max(MIN_RATE_PER_S, limitPerS);
  return { perSecond, size: Math.max(MIN_BURST, 1 + (perSecond * BURST_MS) / MS_PER_SECOND) };
}

/** For engines without rate limits. */
export const unlimited: SendLimits = {
  isLimited: () => false,
  msUntilRoom: () => 0,
  take: () => undefined,
  nextRetryAfterMs: () => 0,
  forget: () => undefined,
};
