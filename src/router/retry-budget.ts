/**
 * A budget for retries: a share of the requests that came, so that retries cannot multiply load
 * when much fails at once. A small reserve lets a quiet node retry too. Attempts that were declined
 * and attempts that were cut have a balance each: a burst of declined ones, which cost the servers
 * next to nothing, must not keep a begun answer from being finished.
 */

const RESERVE = 10;

/** Why an attempt is followed by another: it started nothing, or it may have begun. */
export type RetryCause = 'declined' | 'cut';

/** A budget for retries. */
export interface RetryBudget {
  /** A request came; it earns its share of a retry, for either cause. */
  earn(): void;
  /** Spends one retry. @returns false when none is left for the cause. */
  spend(cause: RetryCause): boolean;
}

/**
 * Creates a full budget.
 *
 * @param share retries of each cause earned by one request, from 0 to 1
 */
export function createRetryBudget(share: number): RetryBudget {
  const balances: Record<RetryCause, number> = { declined: RESERVE, cut: RESERVE };

  function earnFor(cause: RetryCause): void {
    balances[cause] = Math.min(RESERVE, balances[cause] + share);
  }

  return {
    earn() {
      earnFor('declined');
      earnFor('cut');
    },
    spend(cause) {
      if (balances[cause] < 1) return false;
      balances[cause] -= 1;
      return true;
    },
  };
}
