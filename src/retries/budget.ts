/**
 * The retry budget of one gateway, by service. A retry is paid for when it is decided, and what is not sent after
 * all is refunded.
 */
import type { Clock } from '../task/index.js';
import {
  createRetryCredit,
  type RetryBound,
  type RetryCredit,
  type RetryPayment,
} from './credit.js';

/** Age of a permit from which its payment is renewed at the send, in ms; retries that wait for long would
 * otherwise add to those of a later window. */
const RENEW_AFTER_MS = 100;

/** Permission to send one retry. */
export interface RetryPermit {
  /** Renews the payment right before the send; false if the credit has expired and there is no other. */
  renew: () => boolean;
  /** Gives the permission back; nothing was sent with it. */
  refund: () => void;
}

/** The state of a budget for one service. */
export interface RetryBudgetState {
  /** Retries that can be paid now. */
  available: number;
  /** Gateways between which the allowance is divided; `undefined` while that is not known. */
  gateways: number | undefined;
  /** How long this gateway has kept the budget, in milliseconds. */
  ageMs: number;
}

/** The retry budget of one gateway. */
export interface RetryBudget {
  /** Credits a request for a service. */
  requestReceived(service: string): void;
  /** Whether a retry can be paid now. */
  hasLeft(service: string): boolean;
  /** Pays for one retry; `undefined` if the budget is spent. */
  take(service: string): RetryPermit | undefined;
  state(service: string): RetryBudgetState;
}

/**
 * Creates a budget.
 *
 * @param clock the gateway's clock
 * @param bound the current bound for all gateways
 * @param gateways number of gateways that share the bound; `undefined` while that is not known
 */
export function createRetryBudget(
  clock: Clock,
  bound: () => RetryBound,
  gateways: () => number | undefined,
): RetryBudget {
  const credits = new Map<string, RetryCredit>();
  const createdAt = clock.now();

  function creditOf(service: string): RetryCredit {
    const known = credits.get(service) ?? createRetryCredit(clock, bound, gateways, createdAt);
    credits.set(service, known);
    return known;
  }

  function createPermit(credit: RetryCredit, payment: RetryPayment): RetryPermit {
    let current: RetryPayment | undefined = payment;
    let paidAt = clock.now();

    function refund(): void {
      if (current !== undefined) credit.refund(current);
      current = undefined;
    }

    return {
      refund,
      renew() {
        if (clock.now() - paidAt < RENEW_AFTER_MS) return true;
        refund();
        current = credit.pay();
        paidAt = clock.now();
        return current !== undefined;
      },
    };
  }

  return {
    requestReceived(service) {
      creditOf(service).earn();
    },
    hasLeft: (service) => creditOf(service).canPay(),
    take(service) {
      const credit = creditOf(service);
      const payment = credit.pay();
      return payment && createPermit(credit, payment);
    },
    state(service) {
      return {
        available: creditOf(service).available(),
        gateways: gateways(),
        ageMs: Math.round(clock.now() - createdAt),
      };
    },
  };
}
