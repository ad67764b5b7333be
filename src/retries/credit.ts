/**
 * Retry credit of one gateway for one service. Each request received earns a fraction of a retry for a short
 * time, and the gateway's part of the fleet's allowance accrues over time. Credit is kept in memory only and
 * starts at zero: what a process has not earned itself cannot be spent twice by starting it again. So the sum
 * over all gateways stays within the fleet's bound whatever restarts, and no gateway needs to know what others,
 * or its own former processes, have spent.
 */
import type { Clock } from '../task/index.js';

/** Bound on the retries of a service, for all gateways together. */
export interface RetryBound {
  /** Retries per request. */
  ratio: number;
  /** Additional retries per window. */
  allowance: number;
  /** Length of a window, in milliseconds; any span of that length counts. */
  windowMs: number;
}

/** How long a request's credit can be spent, as a share of the window. Retries in a window are paid by requests
 * of that window and of so much time before it. */
const EARNED_TTL_SHARE = 0.25;
/** Share of the ratio that a request earns, so that this longer span stays within the bound of one window. */
const EARNED_SHARE = 1 / (1 + EARNED_TTL_SHARE);
/** Share of the allowance that is used; the rest covers gateways that do not know each other yet. */
const ALLOWANCE_SHARE = 0.9;
/** Share of the used allowance that can be saved up. The rest accrues in a window, so that a process which spends
 * all its savings and its successor stay within the allowance together. */
const SAVED_SHARE = 0.5;
/** Tolerance for sums of fractions. */
const EPSILON = 1e-9;

/** What paid for one retry. */
export interface RetryPayment {
  /** Credit of requests, by the time at which it was earned. */
  earned: EarnedCredit[];
  /** Part that came from the allowance. */
  allowance: number;
}

interface EarnedCredit {
  at: number;
  amount: number;
}

/** The credit of one gateway for one service, in retries. */
export interface RetryCredit {
  /** Credits one request received. */
  earn(): void;
  /** Pays for one retry; `undefined` if less than one is left. */
  pay(): RetryPayment | undefined;
  /** Takes back the payment of a retry that was not sent; what has expired meanwhile stays lost. */
  refund(payment: RetryPayment): void;
  /** Retries that can be paid now, in fractions too. */
  available(): number;
  /** Whether a retry can be paid now. */
  canPay(): boolean;
}

/**
 * Creates an empty credit.
 *
 * @param clock the gateway's clock
 * @param bound the current bound
 * @param gateways number of gateways that share the allowance; `undefined` while that is not known
 * @param startedAt since when this gateway's part of the allowance accrues, in ms of the clock
 */
export function createRetryCredit(
  clock: Clock,
  bound: () => RetryBound,
  gateways: () => number | undefined,
  startedAt = clock.now(),
): RetryCredit {
  let earned: EarnedCredit[] = [];
  let saved = 0;
  let accruedAt = startedAt;

  function update(): void {
    expire();
    accrue();
  }

  function expire(): void {
    const before = clock.now() - bound().windowMs * EARNED_TTL_SHARE;
    let expired = 0;
    while (expired < earned.length && (earned[expired]?.at ?? before) < before) expired += 1;
    if (expired > 0) earned.splice(0, expired);
  }

  function accrue(): void {
    const count = gateways();
    if (count === undefined) return;
    const { allowance, windowMs } = bound();
    const part = (ALLOWANCE_SHARE * allowance) / count;
    const elapsedMs = clock.now() - accruedAt;
    const accrued = ((1 - SAVED_SHARE) * part * elapsedMs) / windowMs;
    saved = Math.min(SAVED_SHARE * part, saved + accrued);
    accruedAt = clock.now();
  }

  function sumEarned(): number {
    let sum = 0;
    for (const { amount } of earned) {
      sum += amount;
    }
    return sum;
  }

  /** Takes earned credit, the oldest first. */
  function takeEarned(most: number): EarnedCredit[] {
    const taken: EarnedCredit[] = [];
    let left = most;
    while (left > EPSILON) {
      const oldest = earned[0];
      if (oldest === undefined) break;
      const amount = Math.min(left, oldest.amount);
      taken.push({ at: oldest.at, amount });
      left -= amount;
      oldest.amount -= amount;
      if (oldest.amount <= EPSILON) earned.shift();
    }
    return taken;
  }

  function available(): number {
    update();
    return sumEarned() + saved;
  }

  function canPay(): boolean {
    return available() >= 1 - EPSILON;
  }

  return {
    earn() {
      update();
      earned.push({ at: clock.now(), amount: EARNED_SHARE * bound().ratio });
    },
    pay() {
      if (!canPay()) return undefined;
      const fromEarned = Math.min(1, sumEarned());
      const allowance = 1 - fromEarned;
      saved = Math.max(0, saved - allowance);
      return { earned: takeEarned(fromEarned), allowance };
    },
    refund(payment) {
      saved += payment.allowance;
      earned = [...payment.earned, ...earned].sort((one, other) => one.at - other.at);
      update();
    },
    available,
    canPay,
  };
}
