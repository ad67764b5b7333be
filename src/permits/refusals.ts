/**
 * Why a holder does not grant a permit, as the asking router hears it. Nothing was started in any
 * of these cases.
 */
import { createRefusal, type FailureCode, type Step } from '../errors/index.js';
import type { PermitAnswer } from '../links/index.js';

/** Reasons of a holder. */
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
    message: 'the shard is held elsewhere now',
  },
  'no-claims': {
    code: 'claims-unavailable',
    step: 'permit.ask',
    message: 'the lease on the shard cannot be renewed; requests that may not be repeated wait',
  },
  'no-server': {
    code: 'no-backend-server',
    step: 'permit.ask',
    message: 'no backend server of the group can take the request now',
  },
  'queue-full': {
    code: 'queue-full',
    step: 'permit.ask',
    message: 'too many requests wait',
  },
  'too-late': {
    code: 'cannot-be-on-time',
    step: 'permit.ask',
    message: 'the requests ahead take longer than this one may wait',
  },
  'never-in-time': {
    code: 'cannot-be-on-time',
    step: 'permit.ask',
    message: 'the request takes longer than it may, even with nothing ahead of it',
  },
  'not-in-time': {
    code: 'cannot-be-on-time',
    step: 'permit.wait',
    message: 'no place became free in time',
  },
  withdrawn: {
    code: 'cancelled',
    step: 'permit.wait',
    message: 'the request was withdrawn',
  },
};

/**
 * Builds a refusal.
 *
 * @param node the holder's node
 * @param reason why
 * @param retryAfterMs when asking again makes sense, in milliseconds, where it does
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
