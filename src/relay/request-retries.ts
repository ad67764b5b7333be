/**
 * Pays for the retries of one request from the gateway's retry budget.
 */
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { createRetryCharges, type ArrivedSend, type RetryBudget } from '../retries/index.js';

/** What paying for a request's retries needs. */
export interface RequestRetriesParts {
  log: Log;
  metrics: Pick<GatewayMetrics, 'refusals' | 'retries' | 'retriesRefunded'>;
  budget: RetryBudget;
  service: string;
  requestId: string | undefined;
}

/** The retries of one request. */
export interface RequestRetries {
  /** Pays for one more send; false if the budget is spent. */
  pay(reason: string): boolean;
  /** Renews what pays for the next send; false if the credit has expired and there is no other. */
  renew: () => boolean;
  /** Records a send that reached a server. */
  arrived(send: ArrivedSend): void;
  /** Refunds what was paid and not used, at the end of the request. */
  close(): void;
}

/**
 * Creates the retries of a request that was not sent yet.
 *
 * @param parts the request and the gateway's budget
 */
export function createRequestRetries(parts: RequestRetriesParts): RequestRetries {
  const { log, metrics, budget, service, requestId } = parts;
  const charges = createRetryCharges();
  return {
    pay(reason) {
      const permit = budget.take(service);
      const isAllowed = permit !== undefined;
      if (isAllowed) charges.hold(permit);
      if (isAllowed) metrics.retries.inc({ reason });
      else metrics.refusals.inc({ reason: 'retry-budget' });
      const { available, gateways, ageMs } = budget.state(service);
      log.write('retryDecided', {
        request: requestId,
        service,
        reason,
        isAllowed,
        available: Number(available.toFixed(2)),
        gateways,
        ageMs,
      });
      return isAllowed;
    },
    renew: charges.renew,
    arrived(send) {
      if (!charges.arrived(send)) log.write('retryUnpaid', { request: requestId, service });
    },
    close() {
      metrics.retriesRefunded.inc(charges.close());
    },
  };
}
