/**
 * Charges of one request: the permits that pay for its sends beyond the first, and which of them were used.
 *
 * Two sends of a request are free: the first one that reaches a server, and the first that only prefills its
 * prompt with success. Each other send that reaches a server uses a permit. One that certainly reached none uses
 * nothing.
 */
import type { RetryPermit } from './budget.js';

/** A send that reached a server, or may have. */
export interface ArrivedSend {
  /** Whether it only prefilled the prompt, with success. */
  isPrefilled: boolean;
}

/** The charges of one request. */
export interface RetryCharges {
  /** Holds a permit for a later send. */
  hold(permit: RetryPermit): void;
  /** Renews the held permits before a send; false if one could not be renewed. */
  renew: () => boolean;
  /** Records a send that reached a server; false if it was not free and no permit was held for it. */
  arrived(send: ArrivedSend): boolean;
  /** Refunds permits that were not used; returns how many were not, expired ones included. */
  close: () => number;
}

/** Creates the charges of a request that was not sent yet. */
export function createRetryCharges(): RetryCharges {
  let held: RetryPermit[] = [];
  let hasArrived = false;
  let hasPrefilled = false;
  /** Permits that were given back or expired. */
  let unused = 0;

  return {
    hold(permit) {
      held.push(permit);
    },
    renew() {
      const renewed = held.filter((permit) => permit.renew());
      const expired = held.length - renewed.length;
      held = renewed;
      unused += expired;
      return expired === 0;
    },
    arrived({ isPrefilled }) {
      if (isPrefilled && !hasPrefilled) {
        hasPrefilled = true;
        return true;
      }
      if (!hasArrived) {
        hasArrived = true;
        return true;
      }
      return held.shift() !== undefined;
    },
    close() {
      for (const permit of held) {
        permit.refund();
      }
      unused += held.length;
      held = [];
      return unused;
    },
  };
}
