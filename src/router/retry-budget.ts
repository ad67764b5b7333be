/**
 * A budget for retries: a share of the requests that came, so that retries cannot multiply load
 * when much fails at once. A small reserve lets a quiet node retry too.
 */

const RESERVE = 10;

/** A budget for retries. */
export interface RetryBudget {
  /** A request came; it earns its share of a retry. */
  earn(): void;
  /** Spends one retry. @returns false when none is left. */
  spend(): boolean;
}

/**
 * Creates a full budget.
 *
 * @param share retries earned by one request, from 0 to 1
 */
export function createRetryBudget(share: number): RetryBudget {
  let balance = RESERVE;
  return {
    earn() {
      balance = Math.min(RESERVE, balance + share);
    },
    spend() {
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}
