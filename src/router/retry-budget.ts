/**
 * Limits retries to a share of the requests received, so that retries cannot multiply the load
 * during an outage. Declined and cut attempts have separate balances: a burst of declined attempts,
 * which cost the servers almost nothing, must not prevent a begun answer from being resumed.
 */

/** Most retries that a balance holds, and its initial value, so that an idle node can retry too. */
const MAX_BALANCE = 10;

/** `declined`: the attempt started nothing. `cut`: it may have started work. */
export type RetryCause = 'declined' | 'cut';

export interface RetryBudget {
  /** Credits both balances for one request received. */
  earn(): void;
  /** Spends one retry. @returns false when the balance of the cause is used up. */
  spend(cause: RetryCause): boolean;
}

/**
 * Creates a full budget.
 *
 * @param share retries that one request adds to each balance, from 0 to 1
 */
export function createRetryBudget(share: number): RetryBudget {
  const balances: Record<RetryCause, number> = { declined: MAX_BALANCE, cut: MAX_BALANCE };

  function credit(cause: RetryCause): void {
    balances[cause] = Math.min(MAX_BALANCE, balances[cause] + share);
  }

  return {
    earn() {
      credit('declined');
      credit('cut');
    },
    spend(cause) {
      if (balances[cause] < 1) return false;
      balances[cause] -= 1;
      return true;
    },
  };
}
