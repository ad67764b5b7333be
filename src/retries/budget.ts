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
import type { Loans } from './loans.js';

/** Age of a permit from which its payment is renewed at the send, in ms; retries that wait for long would
 * otherwise add to those of a later window. */
const RENEW_AFTER_MS = 100;

/** Age up to which a borrowed permit can be used, in ms. */
const BORROWED_TTL_MS = 1_000;

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
  /** Pays for one retry, from a partner's credit if the own one is spent; `undefined` if neither is left. */
  acquire(service: string): Promise<RetryPermit | undefined>;
  state(service: string): RetryBudgetState;
}

/** Dependencies of a budget. */
export interface RetryBudgetParts {
  /** The gateway's clock. */
  clock: Clock;
  /** The current bound for all gateways. */
  bound: () => RetryBound;
  /** Number of gateways that share the bound; `undefined` while that is not known. */
  gateways: () => number | undefined;
  /** Asks partners to pay for a retry. */
  borrow: Loans['borrow'];
}

/**
 * Creates a budget.
 *
 * @param parts the bound and what is known of the gateways that share it
 */
export function createRetryBudget(parts: RetryBudgetParts): RetryBudget {
  const { clock, bound, gateways } = parts;
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

  /** Refunding it gives nothing back, since the partner's credit may have expired. */
  function createBorrowedPermit(): RetryPermit {
    const borrowedAt = clock.now();
    return {
      refund: () => undefined,
      renew: () => clock.now() - borrowedAt < BORROWED_TTL_MS,
    };
  }

  function take(service: string): RetryPermit | undefined {
    const credit = creditOf(service);
    const payment = credit.pay();
    return payment && createPermit(credit, payment);
  }

  return {
    requestReceived(service) {
      creditOf(service).earn();
    },
    hasLeft: (service) => creditOf(service).available() >= 1,
    take,
    async acquire(service) {
      const own = take(service);
      if (own !== undefined) return own;
      return (await parts.borrow(service)) ? createBorrowedPermit() : undefined;
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
