/**
 * Refusals of permits. No work was started in any of these cases.
 */
import { createRefusal, type FailureCode, type Step } from '../errors/index.js';
import type { PermitAnswer } from '../links/index.js';

/** Reasons for a refusal. */
export type RefusalReason =
  | 'lost'
  | 'no-claims'
  | 'no-server'
  | 'queue-full'
  | 'too-late'
  | 'not-in-time'
  | 'never-in-time'
  | 'withdrawn';

interface RefusalText {
  code: FailureCode;
  step: Step;
  message: string;
}

const texts: Record<RefusalReason, RefusalText> = {
  lost: {
    code: 'lease-lost',
    step: 'permit.ask',
    message: 'this node no longer holds the shard',
  },
  'no-claims': {
    code: 'claims-unavailable',
    step: 'permit.ask',
    message: 'the lease of the node cannot be renewed; non-repeatable requests are refused',
  },
  'no-server': {
    code: 'no-backend-server',
    step: 'permit.ask',
    message: 'no backend server of the group can take the request now',
  },
  'queue-full': {
    code: 'queue-full',
    step: 'permit.ask',
    message: 'the queue of the shard is full',
  },
  'too-late': {
    code: 'cannot-be-on-time',
    step: 'permit.ask',
    message: 'with the estimated queueing delay, the request would miss its latency objective',
  },
  'never-in-time': {
    code: 'cannot-be-on-time',
    step: 'permit.ask',
    message: 'the request would miss its latency objective even without a queueing delay',
  },
  'not-in-time': {
    code: 'cannot-be-on-time',
    step: 'permit.wait',
    message: 'no backend server had room before the deadline',
  },
  withdrawn: {
    code: 'cancelled',
    step: 'permit.wait',
    message: 'the request was cancelled',
  },
};

/**
 * Creates a refusal.
 *
 * @param node the holder's node
 * @param reason the reason
 * @param retryAfterMs Retry-After in milliseconds, if a retry can succeed
 */
export function createPermitRefusal(
  node: string,
  reason: RefusalReason,
  retryAfterMs?: number,
): PermitAnswer {
  const detail = { ...texts[reason], peer: node };
  const failure = createRefusal(retryAfterMs === undefined ? detail : { ...detail, retryAfterMs });
  return { kind: 'permit.refused', failure };
}
